package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/problem"
)

// script handles one connection to a fake router.
type script func(w http.ResponseWriter, r *http.Request)

// fakeRouter starts a router that runs one script per connection and repeats
// the last one. It returns the router's address.
func fakeRouter(t *testing.T, scripts ...script) string {
	t.Helper()
	var n atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i := min(int(n.Add(1)), len(scripts)) - 1
		scripts[i](w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func sendTokens(from, to int, last bool) script {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderRequestID, "router-1.x")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i < to; i++ {
			fmt.Fprintf(w, "id: tok:%d\ndata: {\"id\":\"a\",\"index\":%d,\"text\":\"t%d \"}\n\n", i, i, i)
		}
		if last {
			fmt.Fprintf(w, "id: tok:%d\ndata: {\"id\":\"a\",\"index\":%d,\"finish_reason\":\"stop\",\"token_count\":%d}\n\n", to, to, to)
		}
	}
}

func abortConnection(w http.ResponseWriter, _ *http.Request) {
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

func readStream(t *testing.T, addresses ...string) (*Answer, error) {
	t.Helper()
	c := New("key", "kegsetu", addresses)
	c.MaxResumes = 3
	c.ResumePause = 0
	return c.Stream(context.Background(), addresses, Completion{Model: "m", Prompt: "p"})
}

func TestWholeAnswer(t *testing.T) {
	a, err := readStream(t, fakeRouter(t, sendTokens(0, 3, true)))
	if err != nil || a.Text != "t0 t1 t2 " || a.FinishReason != "stop" || len(a.Gaps) != 2 || a.RequestID != "router-1.x" {
		t.Fatalf("%+v %v", a, err)
	}
}

func TestResumesAtTheNextAddress(t *testing.T) {
	first := fakeRouter(t, func(w http.ResponseWriter, r *http.Request) {
		sendTokens(0, 2, false)(w, r)
		abortConnection(w, r)
	})
	second := fakeRouter(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(HeaderLastEventID) != "tok:1" || r.URL.Path != "/v1/generations/tok" {
			t.Errorf("resumed with %q at %s", r.Header.Get(HeaderLastEventID), r.URL.Path)
		}
		sendTokens(2, 5, true)(w, r)
	})
	a, err := readStream(t, first, second)
	if err != nil || a.Tokens != 5 || a.Resumes != 1 || a.FinishReason != "stop" {
		t.Fatalf("%+v %v", a, err)
	}
}

// A router that must stop before the stream ends reports so with a resume
// token. The caller must read the rest at another router, whether it has
// received a token or none.
func TestResumesOnResumeToken(t *testing.T) {
	for received := range 2 {
		first := fakeRouter(t, func(w http.ResponseWriter, r *http.Request) {
			if received == 0 {
				w.Header().Set("Content-Type", problem.ContentType)
				w.WriteHeader(http.StatusServiceUnavailable)
				fmt.Fprint(w, `{"outcome":"unknown","resume_token":"tok"}`)
				return
			}
			sendTokens(0, received, false)(w, r)
			fmt.Fprint(w, "event: error\ndata: {\"outcome\":\"unknown\",\"resume_token\":\"tok\"}\n\n")
		})
		a, err := readStream(t, first, fakeRouter(t, sendTokens(received, 4, true)))
		if err != nil || a.Tokens != 4 || a.Problem != nil {
			t.Fatalf("after %d tokens: %+v %v", received, a, err)
		}
	}
}

func TestEarlyEndReturnsErrCut(t *testing.T) {
	a, err := readStream(t, fakeRouter(t, sendTokens(0, 2, false), abortConnection))
	if !errors.Is(err, ErrCut) || a.Resumes != 3 || a.FinishReason != "" {
		t.Fatalf("%+v %v", a, err)
	}
}

func TestBrokenAnswersReturnErrBroken(t *testing.T) {
	cases := map[string]script{
		"lost token": func(w http.ResponseWriter, r *http.Request) {
			sendTokens(0, 1, false)(w, r)
			sendTokens(2, 4, true)(w, r)
		},
		"doubled token": func(w http.ResponseWriter, r *http.Request) {
			sendTokens(0, 2, false)(w, r)
			sendTokens(1, 4, true)(w, r)
		},
		"wrong count": func(w http.ResponseWriter, r *http.Request) {
			sendTokens(0, 2, false)(w, r)
			fmt.Fprint(w, "id: tok:2\ndata: {\"index\":2,\"finish_reason\":\"stop\",\"token_count\":3}\n\n")
		},
	}
	for name, s := range cases {
		if a, err := readStream(t, fakeRouter(t, s)); !errors.Is(err, ErrBroken) {
			t.Errorf("%s: %+v %v", name, a, err)
		}
	}
}

func TestProblems(t *testing.T) {
	refused := fakeRouter(t, func(w http.ResponseWriter, _ *http.Request) {
		problem.Write(w, &problem.Problem{Status: http.StatusTooManyRequests, Outcome: problem.OutcomeNotRun})
	})
	a, err := readStream(t, refused)
	if err != nil || a.Problem == nil || a.Problem.Outcome != problem.OutcomeNotRun || a.Tokens != 0 {
		t.Fatalf("%+v %v", a, err)
	}
	failed := fakeRouter(t, func(w http.ResponseWriter, r *http.Request) {
		sendTokens(0, 2, false)(w, r)
		fmt.Fprint(w, "event: error\ndata: {\"outcome\":\"failed\"}\n\n")
	})
	a, err = readStream(t, failed)
	if err != nil || a.Problem == nil || a.Problem.Outcome != problem.OutcomeFailed || a.Tokens != 2 {
		t.Fatalf("%+v %v", a, err)
	}
}

func TestEntryTriesTheSeedsInOrder(t *testing.T) {
	good := fakeRouter(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"addresses":["127.0.0.1:1"],"valid_for_ms":5}`)
	})
	c := New("key", "kegsetu", []string{"127.0.0.1:1", good})
	entry, err := c.Entry(context.Background(), "m")
	if err != nil || len(entry.Addresses) != 1 || entry.ValidForMillis != 5 {
		t.Fatalf("%+v %v", entry, err)
	}
	c.Seeds = c.Seeds[:1]
	if _, err := c.Entry(context.Background(), "m"); !errors.Is(err, ErrNoEntry) {
		t.Fatal(err)
	}
}
