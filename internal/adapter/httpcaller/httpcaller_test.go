package httpcaller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

const testTimeout = 20 * time.Second

// fakeApplication implements Application with the functions that a test sets.
type fakeApplication struct {
	generate func(a router.FrameWriter) *router.Refusal
	resume   func(r *router.ResumeRequest) *router.Refusal
	service  func(r *router.ServiceRequest) (*router.ServiceReply, *router.Refusal)
	leaving  bool
}

func (*fakeApplication) NewRequestID() string { return "router-1.1" }

func (a *fakeApplication) Generate(_ context.Context, _ *router.GenerationRequest, answer router.FrameWriter) *router.Refusal {
	return a.generate(answer)
}

func (a *fakeApplication) Resume(_ context.Context, r *router.ResumeRequest, _ router.FrameWriter) *router.Refusal {
	return a.resume(r)
}

func (*fakeApplication) Cancel(_ context.Context, _, token string) (port.GenerationStatus, *router.Refusal) {
	if token != "tok" {
		return "", &router.Refusal{Cause: router.CauseBadToken, Outcome: outcome.NotRun, LastIndex: -1}
	}
	return port.GenerationRunning, nil
}

func (a *fakeApplication) CallService(_ context.Context, r *router.ServiceRequest) (*router.ServiceReply, *router.Refusal) {
	return a.service(r)
}

func (*fakeApplication) LookupRequest(context.Context, string, string, string) router.RequestStatus {
	return router.RequestStatus{}
}

func (*fakeApplication) EntryAddresses(string) ([]string, time.Duration) { return nil, 0 }

func (a *fakeApplication) Leaving() bool { return a.leaving }

func serve(t *testing.T, a *fakeApplication) *httptest.Server {
	t.Helper()
	return serveWithBodyTimeout(t, a, testTimeout)
}

func serveWithBodyTimeout(t *testing.T, a *fakeApplication, bodyTimeout time.Duration) *httptest.Server {
	t.Helper()
	return serveWithTimeouts(t, a, bodyTimeout, testTimeout)
}

func serveWithTimeouts(t *testing.T, a *fakeApplication, bodyTimeout, writeTimeout time.Duration) *httptest.Server {
	t.Helper()
	hash := httpserver.HashToken("secret")
	server := httptest.NewUnstartedServer(nil)
	server.Config = httpserver.New(New(Options{
		Application: a, Synced: func() bool { return true }, KeyRetention: func() time.Duration { return time.Hour }, BodyTimeout: bodyTimeout, WriteTimeout: writeTimeout,
		Organisations: func(h string) (string, bool) { return "kegsetu", h == hash },
	}))
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func do(t *testing.T, server *httptest.Server, method, path, body string, header ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

type problemDocument struct {
	Status      int    `json:"status"`
	Outcome     string `json:"outcome"`
	Reason      string `json:"reason"`
	Field       string `json:"field"`
	DecisionID  string `json:"decision_id"`
	RequestID   string `json:"request_id"`
	RetryAfter  int64  `json:"retry_after_ms"`
	ResumeToken string `json:"resume_token"`
}

func readProblem(t *testing.T, resp *http.Response) problemDocument {
	t.Helper()
	var p problemDocument
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		t.Fatal(err)
	}
	if resp.Header.Get("Content-Type") != "application/problem+json" || p.Status != resp.StatusCode {
		t.Fatalf("status %d, %q, %+v", resp.StatusCode, resp.Header.Get("Content-Type"), p)
	}
	return p
}

const validBody = `{"model":"m","prompt":"p","stream":true}`

func writeFrames(a router.FrameWriter, from, to int) {
	for i := from; i < to; i++ {
		_ = a.WriteFrame("tok", &port.Frame{Index: i, Text: "t"})
	}
}

func readEvents(t *testing.T, resp *http.Response) []sse.Event {
	t.Helper()
	var out []sse.Event
	for e, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, e)
	}
	return out
}

func TestStreamWritesEvents(t *testing.T) {
	server := serve(t, &fakeApplication{generate: func(a router.FrameWriter) *router.Refusal {
		writeFrames(a, 0, 2)
		_ = a.WriteFrame("tok", &port.Frame{Index: 2, FinishReason: "stop", TokenCount: 2})
		return nil
	}})
	resp := do(t, server, http.MethodPost, "/v1/completions", validBody)
	got := readEvents(t, resp)
	if len(got) != 3 || got[0].LastEventID != "tok:0" || got[2].LastEventID != "tok:2" {
		t.Fatalf("got %+v", got)
	}
	if got[2].Data != `{"id":"router-1.1","index":2,"finish_reason":"stop","token_count":2}` {
		t.Fatalf("got %s", got[2].Data)
	}
}

// A refusal before the first event is a problem document with its status; a
// later one is an error event whose ID lets the caller resume.
func TestRefusalsBeforeAndAfterTheFirstEvent(t *testing.T) {
	failAfterStart := false
	server := serve(t, &fakeApplication{generate: func(a router.FrameWriter) *router.Refusal {
		if failAfterStart {
			writeFrames(a, 0, 3)
			return &router.Refusal{
				Cause: router.CauseStopping, Outcome: outcome.Unknown, ResumeToken: "tok", LastIndex: 2, DecisionID: "d",
			}
		}
		return &router.Refusal{Cause: router.CauseOverloaded, Outcome: outcome.NotRun, RetryAfter: 1500 * time.Millisecond, DecisionID: "d", LastIndex: -1}
	}})
	resp := do(t, server, http.MethodPost, "/v1/completions", validBody)
	p := readProblem(t, resp)
	if p.Status != http.StatusServiceUnavailable || p.Outcome != "not_run" || p.RetryAfter != 1500 || p.DecisionID != "d" || resp.Header.Get("Retry-After") != "2" {
		t.Fatalf("got %+v, Retry-After %q", p, resp.Header.Get("Retry-After"))
	}
	failAfterStart = true
	got := readEvents(t, do(t, server, http.MethodPost, "/v1/completions", validBody))
	last := got[len(got)-1]
	if len(got) != 4 || last.Type != eventError || last.LastEventID != "tok:2" {
		t.Fatalf("got %+v", got)
	}
	if err := json.Unmarshal([]byte(last.Data), &p); err != nil || p.ResumeToken != "tok" || p.Reason != "router_stopping" {
		t.Fatalf("got %s, %v", last.Data, err)
	}
}

// A resumed stream starts after the caller's last event. An event ID of
// another resume token is refused: its index would skip or repeat tokens.
func TestResumeBeginsAfterTheLastEvent(t *testing.T) {
	var received router.ResumeRequest
	server := serve(t, &fakeApplication{resume: func(r *router.ResumeRequest) *router.Refusal {
		received = *r
		return &router.Refusal{Cause: router.CauseBadToken, Outcome: outcome.NotRun, LastIndex: -1}
	}})
	if resp := do(t, server, http.MethodGet, "/v1/generations/tok", "", headerLastEventID, "tok:6"); resp.StatusCode != http.StatusForbidden {
		t.Fatalf("got %d", resp.StatusCode)
	}
	if received.From != 7 || received.Token != "tok" || received.Organisation != "kegsetu" {
		t.Fatalf("got %+v", received)
	}
	for _, id := range []string{"other:6", "tok", "tok:-1", "tok:x"} {
		resp := do(t, server, http.MethodGet, "/v1/generations/tok", "", headerLastEventID, id)
		if p := readProblem(t, resp); p.Field != headerLastEventID {
			t.Errorf("%q: got %+v", id, p)
		}
	}
}

func TestInvalidRequestsGetProblemDocuments(t *testing.T) {
	server := serve(t, &fakeApplication{})
	cases := []struct {
		name, method, path, body string
		status                   int
		field                    string
		header                   []string
	}{
		{"wrong key", http.MethodPost, "/v1/completions", validBody, 401, "Authorization", []string{"Authorization", "Bearer x"}},
		{"other scheme", http.MethodPost, "/v1/completions", validBody, 401, "Authorization", []string{"Authorization", "Basic secret"}},
		{"no such path", http.MethodGet, "/v1/nothing", "", 404, "path", nil},
		{"large body", http.MethodPost, "/v1/completions", strings.Repeat("x", httpserver.MaxBodyBytes+1), 413, "body", nil},
		{"bad mark", http.MethodPost, "/v1/services/s/x", "", 400, "Request-Non-Idempotent", []string{"Request-Non-Idempotent", "yes"}},
		{"bad request id", http.MethodGet, "/v1/requests/x", "", 400, "id", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := readProblem(t, do(t, server, c.method, c.path, c.body, c.header...))
			if p.Status != c.status || p.Field != c.field || p.Outcome != "not_run" || p.RequestID == "" {
				t.Fatalf("got %+v", p)
			}
		})
	}
}

type failingReader struct{ sent bool }

func (b *failingReader) Read(p []byte) (int, error) {
	if b.sent {
		return 0, errors.New("reset")
	}
	b.sent = true
	return copy(p, "half"), nil
}

// Guards against a service that fails in the middle of a long reply: the
// caller must see a broken connection, not a short reply that looks complete.
func TestServiceReplyCutOffAbortsConnection(t *testing.T) {
	server := serve(t, &fakeApplication{service: func(*router.ServiceRequest) (*router.ServiceReply, *router.Refusal) {
		return &router.ServiceReply{
			Status: 200, Header: http.Header{}, Length: -1, Body: []byte("begin "), Rest: io.NopCloser(&failingReader{}),
		}, nil
	}})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/v1/services/s/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer secret")
	resp, err := server.Client().Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Fatalf("%q was received as a complete reply", body)
	}
}

// The path and query reach the service escaped as the caller sent them.
func TestServicePathKeepsEscaping(t *testing.T) {
	var path string
	server := serve(t, &fakeApplication{service: func(r *router.ServiceRequest) (*router.ServiceReply, *router.Refusal) {
		path = r.Path
		return &router.ServiceReply{Status: 204, Header: http.Header{}, Length: 0}, nil
	}})
	do(t, server, http.MethodGet, "/v1/services/depot/keg%2F7/a%20b?x=%26&y", "")
	if path != "/keg%2F7/a%20b?x=%26&y" {
		t.Fatalf("got %q", path)
	}
}

// A router that shuts down closes kept-alive connections; their callers would
// otherwise never look up another router.
func TestShutdownClosesConnections(t *testing.T) {
	a := &fakeApplication{generate: func(a router.FrameWriter) *router.Refusal {
		_ = a.WriteFrame("tok", &port.Frame{Index: 0, FinishReason: "stop"})
		return nil
	}}
	server := serve(t, a)
	if resp := do(t, server, http.MethodPost, "/v1/completions", validBody); resp.Close {
		t.Fatal("the connection was closed before the shutdown")
	}
	a.leaving = true
	if resp := do(t, server, http.MethodPost, "/v1/completions", validBody); !resp.Close {
		t.Fatal("the connection was kept open during the shutdown")
	}
}

// Guards against a caller that sends only the start of a body: it is answered
// after the timeout and does not occupy a slot.
func TestIncompleteBodyTimesOut(t *testing.T) {
	server := serveWithBodyTimeout(t, &fakeApplication{}, 50*time.Millisecond)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	_, err = io.WriteString(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: 100\r\n\r\n{")
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if p := readProblem(t, resp); p.Status != http.StatusRequestTimeout || p.Field != "body" {
		t.Fatalf("got %+v", p)
	}
}

// A caller cancels its run with the resume token.
func TestCancelWithResumeToken(t *testing.T) {
	server := serve(t, &fakeApplication{})
	resp := do(t, server, http.MethodDelete, "/v1/generations/tok", "")
	if body, _ := io.ReadAll(resp.Body); string(body) != `{"status":"running"}`+"\n" {
		t.Fatalf("got %s", body)
	}
	if p := readProblem(t, do(t, server, http.MethodDelete, "/v1/generations/x", "")); p.Status != http.StatusForbidden {
		t.Fatalf("got %+v", p)
	}
}

// The answer to a request with an idempotency key states how long the key is
// kept.
func TestKeyRetentionHeader(t *testing.T) {
	server := serve(t, &fakeApplication{service: func(*router.ServiceRequest) (*router.ServiceReply, *router.Refusal) {
		return &router.ServiceReply{Status: 204, Header: http.Header{}}, nil
	}})
	with := do(t, server, http.MethodPost, "/v1/services/s/x", "", router.HeaderIdempotencyKey, "k")
	without := do(t, server, http.MethodPost, "/v1/services/s/x", "")
	if got := with.Header.Get(headerKeyRetention); got != "3600000" {
		t.Fatalf("got %q", got)
	}
	if got := without.Header.Get(headerKeyRetention); got != "" {
		t.Fatalf("without a key: got %q", got)
	}
}
