// Package httpengine implements port.Engine over the HTTP API of model engines,
// described in docs/design/wire.md.
package httpengine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/oncehttp"
	"github.com/dragonflyrail/dragonflyrail/internal/core/reply"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// MaxReplyBytes limits the size of an engine's reply that is not a stream.
const MaxReplyBytes = 1 << 20

const pathLoad = "/v1/load"

// HeaderGeneration is the header with the generation ID chosen by the router.
const HeaderGeneration = "Generation-Id"

// Options configures an Engine.
type Options struct {
	DialTimeout time.Duration
	// CallTimeout limits a call that is not a stream.
	CallTimeout time.Duration
	// OpenTimeout limits the wait for the response header of a stream.
	OpenTimeout time.Duration
	// IdleConnections is the number of connections per engine kept for load reports.
	IdleConnections int
}

// Engine is an HTTP client for all engines.
type Engine struct {
	// calls sends each call over a connection of its own, because replies don't name the call
	// that they answer.
	calls *oncehttp.Client
	// reports fetches load reports. Its connections carry nothing else, so that a late reply
	// is only an older report.
	reports *oncehttp.Client
	o       Options
}

// New returns an Engine.
func New(o Options) *Engine {
	return &Engine{
		calls:   oncehttp.New(oncehttp.Options{DialTimeout: o.DialTimeout, DisableKeepAlives: true}),
		reports: oncehttp.New(oncehttp.Options{DialTimeout: o.DialTimeout, IdleConnections: o.IdleConnections}),
		o:       o,
	}
}

type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	User      string `json:"user,omitempty"`
}

type statusReply struct {
	Status port.GenerationStatus `json:"status"`
}

// Start dispatches a generation. It fails with port.ErrRefused if the engine
// reports that it did not start the generation.
func (e *Engine) Start(ctx context.Context, s *port.GenerationStart) (port.FrameStream, error) {
	body, err := json.Marshal(completion{
		Model: s.Model, Prompt: s.Prompt, MaxTokens: s.MaxTokens,
		Stream: true, Priority: s.Priority, User: s.User,
	})
	if err != nil {
		return nil, merry.Wrap(port.ErrNotSent, merry.WithCause(err))
	}
	header := http.Header{"Content-Type": {"application/json"}, HeaderGeneration: {s.Generation}}
	return e.open(ctx, s.Endpoint, http.MethodPost, "/v1/completions", header, body)
}

// Resume opens the generation's stream, starting at the token with index from.
func (e *Engine) Resume(ctx context.Context, ep port.Endpoint, generation string, from int) (port.FrameStream, error) {
	path := generationPath(generation) + "/events?from=" + strconv.Itoa(from)
	return e.open(ctx, ep, http.MethodGet, path, http.Header{}, nil)
}

// Status returns a generation's status.
func (e *Engine) Status(ctx context.Context, ep port.Endpoint, generation string) (port.GenerationStatus, error) {
	var body statusReply
	err := e.call(ctx, ep, http.MethodGet, generationPath(generation), &body)
	return checkStatus(body.Status, err)
}

// Cancel cancels a generation, or prevents its start if the engine doesn't have
// it yet, and returns its previous status.
func (e *Engine) Cancel(ctx context.Context, ep port.Endpoint, generation string) (port.GenerationStatus, error) {
	var body statusReply
	err := e.call(ctx, ep, http.MethodDelete, generationPath(generation), &body)
	return checkStatus(body.Status, err)
}

// Load reads an engine's load report, over a connection that may be kept.
func (e *Engine) Load(ctx context.Context, ep port.Endpoint) (port.LoadReport, error) {
	var report port.LoadReport
	err := e.exchange(ctx, e.reports, reply.ByKind, ep, http.MethodGet, pathLoad, &report)
	return report, err
}

// LoadNow reads an engine's load report over a connection of its own.
func (e *Engine) LoadNow(ctx context.Context, ep port.Endpoint) (port.LoadReport, error) {
	var report port.LoadReport
	err := e.call(ctx, ep, http.MethodGet, pathLoad, &report)
	return report, err
}

// CheckPresence checks whether an engine serves.
func (e *Engine) CheckPresence(ctx context.Context, ep port.Endpoint) port.Presence {
	report, err := e.LoadNow(ctx, ep)
	return oncehttp.PresenceOfReport(ep, &report, err)
}

func generationPath(generation string) string {
	return "/v1/generations/" + url.PathEscape(generation)
}

// checkStatus returns an error for an unknown status, because such a status
// proves nothing about the generation.
func checkStatus(s port.GenerationStatus, err error) (port.GenerationStatus, error) {
	if err != nil {
		return "", err
	}
	switch s {
	case port.GenerationUnknown, port.GenerationQueued, port.GenerationRunning,
		port.GenerationFinished, port.GenerationCancelled:
		return s, nil
	}
	return "", merry.Prependf(port.ErrEndpointLost, "status %.32q", s)
}

func (e *Engine) open(ctx context.Context, ep port.Endpoint, method, path string, header http.Header, body []byte) (port.FrameStream, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopParent := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(e.o.OpenTimeout, cancel)
	resp, err := send(streamCtx, e.calls, ep, method, path, header, body)
	timer.Stop()
	// From here on, only Close and the context of Frames end the stream.
	stopParent()
	if err != nil {
		cancel()
		return nil, err
	}
	if err := headError(resp, reply.ByConnection); err != nil {
		discard(resp.Body)
		cancel()
		return nil, err
	}
	return &frameStream{body: resp.Body, cancel: cancel}, nil
}

// call makes a call over a connection of its own.
func (e *Engine) call(ctx context.Context, ep port.Endpoint, method, path string, out any) error {
	return e.exchange(ctx, e.calls, reply.ByConnection, ep, method, path, out)
}

// exchange makes a call and decodes its reply into out. proof is how the replies that client
// receives are known to be those to their calls.
func (e *Engine) exchange(ctx context.Context, client *oncehttp.Client, proof reply.Proof, ep port.Endpoint, method, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, e.o.CallTimeout)
	defer cancel()
	resp, err := send(ctx, client, ep, method, path, http.Header{}, nil)
	if err != nil {
		return err
	}
	defer discard(resp.Body)
	if err := headError(resp, proof); err != nil {
		return err
	}
	return oncehttp.DecodeBody(resp, MaxReplyBytes, out)
}

func send(ctx context.Context, client *oncehttp.Client, ep port.Endpoint, method, path string, header http.Header, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+ep.Address+path, nil)
	if err != nil {
		return nil, merry.Wrap(port.ErrNotSent, merry.WithCause(err))
	}
	r.Header = header
	return client.Do(r, body, nil)
}

// headError returns the error for the head of a response. Only 409, 503 and the
// statuses for an invalid request prove that the engine started nothing; after
// any other failure the generation may have started.
func headError(resp *http.Response, proof reply.Proof) error {
	refused := resp.StatusCode == http.StatusConflict || resp.StatusCode == http.StatusServiceUnavailable
	if err := oncehttp.CheckHead(resp, port.IdentityNone, proof, refused); err != nil {
		return err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return merry.Prependf(port.ErrRejected, "status %d", resp.StatusCode)
	case http.StatusNotFound:
		return port.ErrNoGeneration
	default:
		return merry.Prependf(port.ErrEndpointLost, "status %d", resp.StatusCode)
	}
}

// discard reads up to 4 KiB of the remaining body, so that the connection can be
// reused, and closes it.
func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4<<10)
	_ = body.Close()
}
