package httpcaller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

// Limits on what a caller may send. The listener limits the body size.
const (
	maxNameBytes   = 256
	maxKeyBytes    = 255
	maxPromptBytes = 768 << 10
	maxTokensLimit = 1 << 20
)

// invalidInput describes an invalid field of a request.
type invalidInput struct {
	status int
	field  string
	detail string
}

func invalidField(field, detail string) *invalidInput {
	return &invalidInput{status: http.StatusBadRequest, field: field, detail: detail}
}

// completionBody is the usual completions body. Other fields are ignored,
// because callers also send fields that only other servers support.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	User      string `json:"user"`
}

// readBody reads the body within the timeout; a caller that sends a byte now
// and then would otherwise occupy its slot indefinitely. The deadline is
// cleared afterwards, because the server continues to read in order to detect
// that the caller has disconnected.
func readBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) ([]byte, *invalidInput) {
	control := http.NewResponseController(w)
	// The listener's writers support deadlines; other writers may not.
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	raw, err := io.ReadAll(r.Body)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &invalidInput{
			status: http.StatusRequestEntityTooLarge, field: "body",
			detail: "the body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes",
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		// Otherwise the server waits for the rest of the body before it answers.
		w.Header().Set("Connection", "close")
		return nil, &invalidInput{
			status: http.StatusRequestTimeout, field: "body",
			detail: "the body did not arrive within " + timeout.String(),
		}
	case err != nil:
		return nil, invalidField("body", "the body could not be read whole")
	}
	return raw, nil
}

// parseCompletion decodes and validates a completions body.
func parseCompletion(raw []byte) (*completionBody, *invalidInput) {
	if !utf8.Valid(raw) {
		return nil, invalidField("body", "the body is not UTF-8")
	}
	var b completionBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, invalidJSON(err)
	}
	switch {
	case b.Model == "":
		return nil, invalidField("model", "a model is required")
	case len(b.Model) > maxNameBytes:
		return nil, invalidField("model", "the name is longer than "+strconv.Itoa(maxNameBytes)+" bytes")
	case b.Prompt == "":
		return nil, invalidField("prompt", "a prompt is required")
	case len(b.Prompt) > maxPromptBytes:
		return nil, invalidField("prompt", "the prompt is longer than "+strconv.Itoa(maxPromptBytes)+" bytes")
	case b.MaxTokens < 0 || b.MaxTokens > maxTokensLimit:
		return nil, invalidField("max_tokens", "must be from 0 (no limit of the caller's) to "+strconv.Itoa(maxTokensLimit))
	case len(b.User) > maxNameBytes:
		return nil, invalidField("user", "the name is longer than "+strconv.Itoa(maxNameBytes)+" bytes")
	}
	return &b, nil
}

func invalidJSON(err error) *invalidInput {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return invalidField(wrongType.Field, "must not be a "+wrongType.Value)
	}
	return invalidField("body", "must be a JSON object: "+err.Error())
}

func idempotencyKey(r *http.Request) (string, *invalidInput) {
	values := r.Header.Values(router.HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", invalidField(router.HeaderIdempotencyKey, "is given more than once")
	}
	key := values[0]
	if key == "" || len(key) > maxKeyBytes {
		return "", invalidField(router.HeaderIdempotencyKey, "must hold 1 to "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return "", invalidField(router.HeaderIdempotencyKey, "must be printable ASCII")
		}
	}
	return key, nil
}

// nonIdempotent reads the header that marks a request as non-idempotent. Any
// value but true and false is refused: treated as false, it would let a call
// run twice.
func nonIdempotent(r *http.Request) (bool, *invalidInput) {
	values := r.Header.Values(router.HeaderNonIdempotent)
	if len(values) == 0 {
		return false, nil
	}
	switch {
	case len(values) == 1 && values[0] == "true":
		return true, nil
	case len(values) == 1 && values[0] == "false":
		return false, nil
	}
	return false, invalidField(router.HeaderNonIdempotent, "must be true or false")
}
