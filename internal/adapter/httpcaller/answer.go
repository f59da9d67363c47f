package httpcaller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpadmin"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/problem"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

// eventError is the name of the event that ends an incomplete stream.
const eventError = "error"

type tokenEvent struct {
	ID    string `json:"id"`
	Index int    `json:"index"`
	Text  string `json:"text"`
}

type finalEvent struct {
	ID           string `json:"id"`
	Index        int    `json:"index"`
	FinishReason string `json:"finish_reason"`
	TokenCount   int    `json:"token_count"`
}

type completionReply struct {
	ID           string `json:"id"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
	TokenCount   int    `json:"token_count"`
}

// streamWriter writes a generation as server-sent events. The response header
// is sent with the first frame, so that an earlier refusal can set the status.
type streamWriter struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	requestID string
	timeout   time.Duration
	started   bool
}

func newStreamWriter(w http.ResponseWriter, requestID string, timeout time.Duration) *streamWriter {
	return &streamWriter{w: w, control: http.NewResponseController(w), requestID: requestID, timeout: timeout}
}

// Resumable is true because each event ID contains the resume token.
func (s *streamWriter) Resumable() bool { return true }

// WriteFrame writes one event, which may stay in the response buffer until Flush.
func (s *streamWriter) WriteFrame(token string, f *port.Frame) error {
	var data any = tokenEvent{ID: s.requestID, Index: f.Index, Text: f.Text}
	if f.Final() {
		data = finalEvent{ID: s.requestID, Index: f.Index, FinishReason: f.FinishReason, TokenCount: f.TokenCount}
	}
	raw, err := json.Marshal(data)
	if err != nil {
		return err
	}
	return s.write("", stream.EventID(token, f.Index), string(raw))
}

// Flush sends the buffered events within the deadline of the last write.
func (s *streamWriter) Flush() error { return s.control.Flush() }

func (s *streamWriter) write(name, id, data string) error {
	if !s.started {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.started = true
	}
	m := sse.Message{}
	if id != "" {
		m.ID = sse.ID(id)
	}
	if name != "" {
		m.Type = sse.Type(name)
	}
	m.AppendData(data)
	// The listener's writers support deadlines; other writers may not.
	_ = s.control.SetWriteDeadline(time.Now().Add(s.timeout))
	_, err := m.WriteTo(s.w)
	return err
}

// finish reports a refusal, if any: before the first event as a problem
// document, later as an error event whose ID lets the caller resume.
func (s *streamWriter) finish(refusal *router.Refusal) {
	if refusal == nil {
		return
	}
	p := problemOf(refusal, s.requestID)
	if !s.started {
		p.write(s.w)
		return
	}
	id := ""
	if refusal.ResumeToken != "" && refusal.LastIndex >= 0 {
		id = stream.EventID(refusal.ResumeToken, refusal.LastIndex)
	}
	// If the write fails, the caller has disconnected; the error can't be reported.
	if s.write(eventError, id, string(p.marshal())) == nil {
		_ = s.Flush()
	}
}

// collector accumulates a generation for a caller that doesn't stream.
type collector struct {
	requestID string
	text      strings.Builder
	final     port.Frame
}

func newCollector(requestID string) *collector { return &collector{requestID: requestID} }

// Resumable is false because the caller gets no token before the end.
func (c *collector) Resumable() bool { return false }

// Flush does nothing because the answer is written at the end.
func (c *collector) Flush() error { return nil }

// WriteFrame appends the frame's text or stores the final frame.
func (c *collector) WriteFrame(_ string, f *port.Frame) error {
	if f.Final() {
		c.final = *f
		return nil
	}
	c.text.WriteString(f.Text)
	return nil
}

func (h *handler) writeCompletion(w http.ResponseWriter, c *collector, refusal *router.Refusal) {
	if refusal != nil {
		problemOf(refusal, c.requestID).write(w)
		return
	}
	// The listener's writers support deadlines; other writers may not.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.WriteTimeout))
	httpadmin.WriteJSON(w, http.StatusOK, completionReply{
		ID: c.requestID, Text: c.text.String(),
		FinishReason: c.final.FinishReason, TokenCount: c.final.TokenCount,
	})
}

// resumableProblem is a problem document that may contain a resume token.
type resumableProblem struct {
	problem.Problem
	ResumeToken string `json:"resume_token,omitempty"`
	// Resume is the path at which any router serves the rest of the stream.
	Resume string `json:"resume,omitempty"`
}

func problemOf(r *router.Refusal, requestID string) *resumableProblem {
	status := statusOf(r)
	p := &resumableProblem{ResumeToken: r.ResumeToken}
	p.Problem = problem.Problem{
		Status: status, Title: http.StatusText(status), Detail: r.Detail,
		Outcome: problem.Outcome(r.Outcome), Reason: string(r.Cause),
		DecisionID: r.DecisionID, RequestID: requestID,
	}
	p.WithRetryAfter(r.RetryAfter)
	if r.ResumeToken != "" {
		p.Resume = "/v1/generations/" + r.ResumeToken
	}
	return p
}

func (p *resumableProblem) marshal() []byte {
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

func (p *resumableProblem) write(w http.ResponseWriter) {
	if p.ResumeToken == "" {
		problem.Write(w, &p.Problem)
		return
	}
	w.Header().Set("Content-Type", problem.ContentType)
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(p.Status)
	// If the write fails, the caller has disconnected; the error can't be reported.
	_, _ = w.Write(p.marshal())
}
