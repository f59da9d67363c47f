// Package problem writes RFC 9457 problem documents that include the outcome of
// the refused or failed request.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether a refused or failed request was run.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun means that the request did not reach an endpoint, or that
	// the endpoint reported that it did not run it.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed means that the request ran and failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Problem is a problem document with the extension members of this API.
type Problem struct {
	Type       string  `json:"type"`
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Detail     string  `json:"detail,omitempty"`
	Outcome    Outcome `json:"outcome"`
	Reason     string  `json:"reason"`
	DecisionID string  `json:"decision_id,omitempty"`
	RequestID  string  `json:"request_id,omitempty"`
	// Field is the path of the invalid field in the request.
	Field string `json:"field,omitempty"`
	// RetryAfterMillis is the exact retry delay; the Retry-After header is
	// rounded up to whole seconds.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// WithRetryAfter sets the delay after which a retry may succeed, and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfterMillis = d.Milliseconds()
	return p
}

// Marshal returns the document as JSON, with the default type if none is set.
func (p *Problem) Marshal() []byte {
	if p.Type == "" {
		p.Type = "about:blank"
	}
	raw, err := json.Marshal(p)
	if err != nil {
		// Marshalling can't fail: the struct holds only strings and numbers.
		panic(err)
	}
	return raw
}

// Write sends the document with its status and the Retry-After header, if set.
func Write(w http.ResponseWriter, p *Problem) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	if p.RetryAfterMillis > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMillis) / 1000)
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(p.Status)
	// If the write fails, the caller has disconnected; the error can't be reported.
	_, _ = w.Write(p.Marshal())
}
