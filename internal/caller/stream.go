package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/tmaxmax/go-sse"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/problem"
)

// errorEvent is the type of the event that ends a failed stream.
const errorEvent = "error"

// Completion is a completion request to a model.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
	User      string `json:"user,omitempty"`
	// IdempotencyKey is the idempotency key.
	IdempotencyKey string `json:"-"`
	// OnToken, if set, is called for each token.
	OnToken func(index int, text string) `json:"-"`
}

// Answer is the result of reading a stream.
type Answer struct {
	RequestID    string
	Text         string
	Tokens       int
	FinishReason string
	// FirstToken is the time from the request to the first token.
	FirstToken time.Duration
	// Gaps are the times between consecutive tokens, including those across a
	// resume.
	Gaps []time.Duration
	// Resumes counts the attempts to resume the stream.
	Resumes int
	// Problem is the refusal of the request or the failure that ended the
	// stream.
	Problem *problem.Problem
	Status  int
}

// event is the data of one server-sent event.
type event struct {
	ID           string `json:"id"`
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
	TokenCount   int    `json:"token_count"`
}

// resumable is a problem with a resume token, with which any router can
// continue the generation.
type resumable struct {
	problem.Problem
	ResumeToken string `json:"resume_token"`
}

// reader reads one answer over one or more connections.
type reader struct {
	client     *Client
	completion *Completion
	answer     Answer
	text       strings.Builder
	// resumeToken identifies the generation at any router. lastID is the id of
	// the last event, empty before the first.
	resumeToken string
	lastID      string
	started     time.Time
	lastTokenAt time.Time
	done        bool
}

// Stream sends the request to the first address and reads the answer. If the
// connection breaks after a resume token was received, it resumes at the next
// addresses in turn. The error is nil if the answer is complete, or if the
// system refused the request or reported its failure.
func (c *Client) Stream(ctx context.Context, addresses []string, request Completion) (*Answer, error) {
	request.Stream = true
	r := &reader{client: c, completion: &request, started: time.Now()}
	raw, err := json.Marshal(request)
	if err != nil {
		return nil, merry.Prepend(err, "caller")
	}
	header := http.Header{}
	if request.IdempotencyKey != "" {
		header.Set(HeaderIdempotencyKey, request.IdempotencyKey)
	}
	res, err := c.send(ctx, http.MethodPost, addresses[0], "/v1/completions", header, raw)
	if err != nil {
		return &r.answer, merry.Prepend(err, "caller")
	}
	r.answer.RequestID = res.Header.Get(HeaderRequestID)
	readErr := r.read(res)
	for next := 1; r.shouldResume(ctx, readErr); next++ {
		readErr = r.resume(ctx, addresses[next%len(addresses)])
	}
	r.answer.Text = r.text.String()
	if !r.done {
		return &r.answer, readErr
	}
	return &r.answer, nil
}

// shouldResume reports whether a stream that ended with readErr is to be
// resumed.
func (r *reader) shouldResume(ctx context.Context, readErr error) bool {
	if r.done || ctx.Err() != nil || r.resumeToken == "" || errors.Is(readErr, ErrBroken) {
		return false
	}
	return r.answer.Resumes < r.client.MaxResumes
}

func (r *reader) resume(ctx context.Context, address string) error {
	if r.answer.Resumes > 0 {
		select {
		case <-time.After(r.client.ResumePause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	r.answer.Resumes++
	header := http.Header{}
	if r.lastID != "" {
		header.Set(HeaderLastEventID, r.lastID)
	}
	res, err := r.client.send(ctx, http.MethodGet, address, "/v1/generations/"+url.PathEscape(r.resumeToken), header, nil)
	if err != nil {
		return merry.Prepend(err, "caller")
	}
	return r.read(res)
}

// read reads the events of one connection. It returns nil once the answer is
// complete or has failed.
func (r *reader) read(res *http.Response) error {
	defer res.Body.Close()
	r.answer.Status = res.StatusCode
	if res.StatusCode != http.StatusOK {
		return r.handleRefusal(res)
	}
	for e, err := range sse.Read(res.Body, nil) {
		if err != nil {
			return merry.Wrap(ErrCut, merry.WithCause(err))
		}
		if e.Type == errorEvent {
			return r.handleErrorEvent(e.Data)
		}
		if err := r.handleEvent(&e); err != nil {
			return err
		}
		if r.done {
			return nil
		}
	}
	return merry.Wrap(ErrCut)
}

// handleRefusal reads a response whose status is not 200. It returns ErrCut,
// so that the stream is resumed, if the problem has a resume token or if a
// resume was refused with a status other than 404 and 410.
func (r *reader) handleRefusal(res *http.Response) error {
	reply, err := readReply(res)
	if err != nil {
		return merry.Prepend(err, "caller")
	}
	r.answer.Problem = reply.Problem
	var p resumable
	if reply.Problem != nil && json.Unmarshal(reply.Body, &p) == nil && p.ResumeToken != "" {
		r.resumeToken = p.ResumeToken
		return merry.Prepend(ErrCut, "told to resume elsewhere")
	}
	if r.answer.Resumes == 0 || res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusGone {
		r.done = true
		return nil
	}
	return merry.Prependf(ErrCut, "resume refused with %d", res.StatusCode)
}

func (r *reader) handleErrorEvent(data string) error {
	var p resumable
	if err := json.Unmarshal([]byte(data), &p); err != nil {
		return merry.Prependf(ErrBroken, "error event: %v", err)
	}
	r.answer.Problem = &p.Problem
	if p.ResumeToken != "" {
		r.resumeToken = p.ResumeToken
		return merry.Prepend(ErrCut, "told to resume elsewhere")
	}
	r.done = true
	return nil
}

func (r *reader) handleEvent(e *sse.Event) error {
	var got event
	if err := json.Unmarshal([]byte(e.Data), &got); err != nil {
		return merry.Prependf(ErrBroken, "event: %v", err)
	}
	if got.Index != r.answer.Tokens {
		return merry.Prependf(ErrBroken, "index %d after %d tokens", got.Index, r.answer.Tokens)
	}
	r.lastID = e.LastEventID
	r.resumeToken, _, _ = strings.Cut(e.LastEventID, ":")
	if got.FinishReason != "" {
		if got.TokenCount != r.answer.Tokens {
			return merry.Prependf(ErrBroken, "%d tokens, told %d", r.answer.Tokens, got.TokenCount)
		}
		r.answer.FinishReason = got.FinishReason
		r.answer.Problem = nil
		r.done = true
		return nil
	}
	r.addToken(&got)
	return nil
}

func (r *reader) addToken(got *event) {
	now := time.Now()
	if r.answer.Tokens == 0 {
		r.answer.FirstToken = now.Sub(r.started)
	} else {
		r.answer.Gaps = append(r.answer.Gaps, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	r.answer.Tokens++
	r.text.WriteString(got.Text)
	if r.completion.OnToken != nil {
		r.completion.OnToken(got.Index, got.Text)
	}
}
