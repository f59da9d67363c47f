package httpplatform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/latereply"
)

func put(name string, expect uint64) func(context.Context, *Client) (any, error) {
	return func(ctx context.Context, c *Client) (any, error) {
		return c.Put(ctx, "k", name, expect, json.RawMessage(`{}`))
	}
}

func get(ctx context.Context, c *Client) (any, error) { return c.Get(ctx, "k", "n") }

func list(kind string) func(context.Context, *Client) (any, error) {
	return func(ctx context.Context, c *Client) (any, error) {
		objects, _, err := c.List(ctx, kind)
		return len(objects), err
	}
}

func watch(ctx context.Context, c *Client) (any, error) {
	objects, _, err := c.Watch(ctx, "k", 1, time.Second)
	return len(objects), err
}

func hosts(ctx context.Context, c *Client) (any, error) {
	entries, err := c.Hosts(ctx)
	return len(entries), err
}

func stored(name string, version uint64) string {
	return fmt.Sprintf(`{"kind":"k","name":%q,"version":%d,"value":{}}`, name, version)
}

// A late second copy of one call's reply is read as the reply to the next call.
func TestSecondCopyOfReplyIsNotTheNextAnswer(t *testing.T) {
	type call func(context.Context, *Client) (any, error)
	const empty, one = `{"objects":[],"revision":5}`, `{"objects":[{"kind":"k","name":"n","version":4,"value":{}}],"revision":5}`
	n4 := port.Object{Kind: "k", Name: "n", Version: 4, Value: json.RawMessage(`{}`)}
	for name, c := range map[string]struct {
		earlier       call
		status        int
		body          string
		next          call
		nextStatus    int
		nextBody      string
		want          any
		wantErr       error
		wantEarlierOK bool
	}{
		"conflict of another write":      {put("other", 2), 412, stored("other", 3), put("n", 2), 200, stored("n", 4), n4, nil, false},
		"conflict, without a body":       {put("n", 1), 412, "", put("n", 3), 200, stored("n", 4), n4, nil, false},
		"throttled write":                {put("n", 1), 429, "", put("n", 3), 200, stored("n", 4), n4, nil, false},
		"unavailable":                    {get, 503, "", put("n", 3), 200, stored("n", 4), n4, nil, false},
		"success of an earlier write":    {put("n", 2), 200, stored("n", 3), put("n", 3), 503, "", port.Object{}, port.ErrPlatformUnavailable, true},
		"object read before a write":     {get, 200, stored("n", 3), put("n", 3), 412, stored("n", 4), n4, port.ErrConflict, true},
		"older state of the same object": {get, 200, stored("n", 3), get, 200, stored("n", 4), n4, nil, true},
		"absence":                        {get, 404, "", get, 200, stored("n", 4), n4, nil, false},
		"list of another kind":           {list("other"), 200, empty, list("k"), 200, one, 1, nil, true},
		"lost revision":                  {watch, 410, "", watch, 200, one, 1, nil, false},
		"list without changes":           {list("other"), 200, empty, watch, 200, one, 1, nil, true},
		"hosts":                          {list("other"), 200, empty, hosts, 200, `{"endpoints":[{"id":"e","address":"127.0.0.1:1"}]}`, 1, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan string, 2)
			for _, a := range []struct {
				status int
				body   string
			}{{c.status, c.body}, {c.nextStatus, c.nextBody}} {
				calls <- fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", a.status, len(a.body), a.body)
			}
			client := New(Options{BaseURL: "http://" + latereply.Serve(t, func(*http.Request) string { return <-calls }), Timeout: 5 * time.Second})
			if _, err := c.earlier(t.Context(), client); (err == nil) != c.wantEarlierOK {
				t.Fatalf("the earlier call: %v", err)
			}
			got, err := c.next(t.Context(), client)
			if fmt.Sprint(got) != fmt.Sprint(c.want) || !errors.Is(err, c.wantErr) || c.wantErr == nil && err != nil {
				t.Fatalf("got %+v, %v, want %+v, %v", got, err, c.want, c.wantErr)
			}
		})
	}
}

// A conflict that names another object counts as that of this write, which may have taken effect.
func TestConflictOfAnotherObjectIsNoAnswer(t *testing.T) {
	if _, err := serve(t, answer(412, stored("other", 3))).Put(t.Context(), "k", "n", 2, json.RawMessage(`{}`)); !errors.Is(err, port.ErrOutcomeUnknown) {
		t.Fatalf("got %v, want ErrOutcomeUnknown", err)
	}
	// The platform answers so where no object is stored.
	if _, err := serve(t, answer(412, `{"kind":"","name":"","version":0,"value":null}`)).Put(t.Context(), "k", "n", 2, json.RawMessage(`{}`)); !errors.Is(err, port.ErrConflict) {
		t.Fatalf("got %v, want ErrConflict", err)
	}
}
