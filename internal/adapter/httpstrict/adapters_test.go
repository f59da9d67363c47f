package httpstrict_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpengine"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httporders"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpplatform"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpprobe"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpservice"
	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/rawserver"
	"github.com/dragonflyrail/dragonflyrail/platform"
)

const testTimeout = 10 * time.Second

// httpCall is a call of one of the system's HTTP clients.
type httpCall struct {
	name string
	// body is that of a sound response.
	body string
	// readsHeadOnly is set if the call needs no more than the head of a response.
	readsHeadOnly bool
	do            func(ctx context.Context, address string) error
}

var errNotServing = merry.New("not serving")

// httpCalls are calls of all HTTP clients, but for that of the operators' command.
func httpCalls() []httpCall {
	services := httpservice.New(httpservice.Options{DialTimeout: testTimeout, LoadTimeout: testTimeout, IdleConnections: 1})
	engines := httpengine.New(httpengine.Options{DialTimeout: testTimeout, CallTimeout: testTimeout, OpenTimeout: testTimeout, IdleConnections: 1})
	orders := httporders.New()
	runners := platform.NewRunnerClient(platform.RunnerClientOptions{DialTimeout: testTimeout, LoadTimeout: testTimeout, IdleConnections: 1})
	at := func(address string) port.Endpoint {
		return port.Endpoint{ID: "e", Address: address, Kind: port.KindRunner}
	}
	const report, object = `{"endpoint":"e"}`, `{"kind":"k","name":"n","version":1,"value":{}}`
	return []httpCall{
		{"service", "reply", false, func(ctx context.Context, address string) error {
			reply, err := services.Call(ctx, at(address), &router.ServiceRequest{RequestID: "r", Method: http.MethodGet, Path: "/"})
			if err != nil {
				return err
			}
			defer reply.Rest.Close()
			_, err = io.ReadAll(reply.Rest)
			return err
		}},
		{"service's load", report, false, func(ctx context.Context, address string) error {
			_, err := services.Load(ctx, at(address))
			return err
		}},
		{"engine's load", report, false, func(ctx context.Context, address string) error {
			_, err := engines.Load(ctx, at(address))
			return err
		}},
		{"engine's status", `{"status":"running"}`, false, func(ctx context.Context, address string) error {
			_, err := engines.Status(ctx, at(address), "g")
			return err
		}},
		{"engine's cancel", `{"status":"running"}`, false, func(ctx context.Context, address string) error {
			_, err := engines.Cancel(ctx, at(address), "g")
			return err
		}},
		{"engine's stream", "data: {}\n\n", false, func(ctx context.Context, address string) error {
			stream, err := engines.Resume(ctx, at(address), "g", 0)
			if err != nil {
				return err
			}
			defer stream.Close()
			for _, err := range stream.Frames(ctx) {
				if err != nil {
					return err
				}
			}
			return nil
		}},
		{"order", "", false, func(ctx context.Context, address string) error {
			return orders.Order(ctx, at(address), port.Order{ID: "o"})
		}},
		{"runner's state", report, false, func(ctx context.Context, address string) error {
			_, err := orders.State(ctx, at(address))
			return err
		}},
		{"probe", report, false, func(ctx context.Context, address string) error {
			_, err := httpprobe.New().Load(ctx, at(address))
			return err
		}},
		{"object", object, false, func(ctx context.Context, address string) error {
			_, err := httpplatform.New(httpplatform.Options{BaseURL: "http://" + address}).Get(ctx, "k", "n")
			return err
		}},
		{"write of an object", object, false, func(ctx context.Context, address string) error {
			_, err := httpplatform.New(httpplatform.Options{BaseURL: "http://" + address}).Put(ctx, "k", "n", 1, []byte("{}"))
			return err
		}},
		{"object of the platform's store", `{"metadata":{"name":"n","revision":1},"spec":{}}`, false, func(ctx context.Context, address string) error {
			_, err := platform.NewStoreClient(platform.StoreOptions{Address: address, Timeout: testTimeout}).Get(ctx, "k", "n")
			return err
		}},
		{"runner's load", `{}`, false, func(ctx context.Context, address string) error {
			_, err := runners.Load(ctx, at(address))
			return err
		}},
		{"copy", `{"handle":"h"}`, false, func(ctx context.Context, address string) error {
			_, err := runners.Copy(ctx, at(address), "r", at(address), false)
			return err
		}},
		{"release of a copy", "", false, func(ctx context.Context, address string) error {
			return runners.Release(ctx, at(address), "h")
		}},
		{"health check", "", true, func(ctx context.Context, address string) error {
			if presence := runners.CheckPresence(ctx, at(address), "/health"); presence != port.PresenceServing {
				return errNotServing
			}
			return nil
		}},
		{"caller", "reply", false, func(ctx context.Context, address string) error {
			_, err := caller.New("k", "o", nil).RequestState(ctx, address, "r")
			return err
		}},
	}
}

// expectNoReply plays responses to all calls, which must fail.
func expectNoReply(t *testing.T, responses []rawserver.Response, needsBody bool) {
	for _, call := range httpCalls() {
		if needsBody && call.readsHeadOnly {
			continue
		}
		t.Run(call.name, func(t *testing.T) {
			t.Parallel()
			server := rawserver.Start(t)
			server.Set(rawserver.Text(rawserver.Sound.With("Connection: close\r\n", call.body)))
			if err := call.do(t.Context(), server.Address); err != nil {
				t.Fatalf("a sound response: %v", err)
			}
			for _, response := range responses {
				text := response.With("", call.body)
				server.Set(rawserver.Text(text))
				if err := call.do(t.Context(), server.Address); err == nil {
					t.Errorf("%q is a response", text)
				}
			}
		})
	}
}

// Guards against replies whose server stopped in the middle of their head, which count with what had come of it.
func TestReplyWithCutHeadIsNoReply(t *testing.T) {
	for _, call := range httpCalls() {
		t.Run(call.name, func(t *testing.T) {
			t.Parallel()
			server := rawserver.Start(t)
			for _, head := range rawserver.CutHeads("", 8, 5) {
				for end, answer := range map[string]func(string) rawserver.Answer{"closed": rawserver.Text, "reset": rawserver.Reset} {
					server.Set(answer(head))
					if err := call.do(t.Context(), server.Address); err == nil {
						t.Errorf("%q, %s, is a response", head, end)
					}
				}
			}
		})
	}
}

// Guards against replies that count as whole because what was read of them is a JSON document, although their connection ended before their end.
func TestReplyThatBreaksOffIsNoReply(t *testing.T) { expectNoReply(t, rawserver.BrokenOff, true) }

// Guards against replies that count although their heads or trailers have fields whose names aren't valid.
func TestReplyWithInvalidFieldIsNoReply(t *testing.T) {
	expectNoReply(t, rawserver.InvalidFields, false)
	expectNoReply(t, rawserver.InvalidTrailers, true)
}

// Guards against replies that count although their status isn't one of HTTP.
func TestReplyWithInvalidStatusIsNoReply(t *testing.T) {
	expectNoReply(t, rawserver.InvalidStatuses, false)
}

// Guards against replies that count although their status line isn't one of HTTP/1.
func TestReplyWithInvalidStatusLineIsNoReply(t *testing.T) {
	expectNoReply(t, rawserver.InvalidStatusLines, false)
}

// Guards against replies whose bodies are read in another way than their servers sent them.
func TestReplyWithInvalidFramingIsNoReply(t *testing.T) {
	expectNoReply(t, rawserver.InvalidFramings, false)
	expectNoReply(t, rawserver.InvalidChunks, true)
}

// Guards against a connection that is used again after an invalid response, where more of it may arrive.
func TestConnectionOfInvalidReplyIsNotUsedAgain(t *testing.T) {
	for _, call := range httpCalls() {
		t.Run(call.name, func(t *testing.T) {
			t.Parallel()
			replies := []rawserver.Response{rawserver.Sound, rawserver.InvalidFields[0], rawserver.Sound}
			var calls atomic.Int64
			var peers sync.Map
			address := rawserver.Serve(t, func(conn *net.TCPConn, r *http.Request) bool {
				n, peer := int(calls.Add(1)), conn.RemoteAddr().String()
				if _, used := peers.LoadOrStore(peer, n); used && n == len(replies) {
					t.Errorf("%s is used after an invalid response", peer)
				}
				_, _ = io.Copy(io.Discard, r.Body)
				named := router.HeaderRequestID + ": " + r.Header.Get(router.HeaderRequestID) + "\r\n"
				body := call.body
				if replies[n-1] != rawserver.Sound {
					// net/http closes the connection of a body that isn't read.
					body = ""
				}
				_, err := io.WriteString(conn, replies[n-1].With(named, body))
				return err == nil
			})
			for i, reply := range replies {
				if err := call.do(t.Context(), address); (err == nil) != (reply == rawserver.Sound) {
					t.Errorf("reply %d: %v", i, err)
				}
			}
		})
	}
}
