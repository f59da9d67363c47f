package oncehttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const testTimeout = 20 * time.Second

// closingServer answers requests on kept-alive connections. While armed, it
// reads the whole request, counts it as run, and closes the connection without
// an answer. To http.Transport that looks like an idle connection that was
// already closed.
type closingServer struct {
	listener net.Listener
	mu       sync.Mutex
	armed    bool
	// runs counts the requests received while armed; reused counts those of
	// them on a connection that had already served a request.
	runs   int
	reused int
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tr := &closingServer{listener: l}
	t.Cleanup(func() { l.Close() })
	go tr.serve()
	return tr
}

func (tr *closingServer) serve() {
	for {
		c, err := tr.listener.Accept()
		if err != nil {
			return
		}
		go tr.connection(c)
	}
}

func (tr *closingServer) connection(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if tr.shouldClose(served) {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// shouldClose reports whether to close the connection without an answer, and
// counts the request if so.
func (tr *closingServer) shouldClose(served int) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if !tr.armed {
		return false
	}
	tr.runs++
	if served > 0 {
		tr.reused++
	}
	return true
}

func (tr *closingServer) arm() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.armed, tr.runs, tr.reused = true, 0, 0
}

func (tr *closingServer) disarm() (runs, reused int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.armed = false
	return tr.runs, tr.reused
}

func (tr *closingServer) request(t *testing.T, method, key string) *http.Request {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+tr.listener.Addr().String()+"/ledger", nil)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return r
}

func newClient() *Client { return New(Options{DialTimeout: testTimeout, IdleConnections: 4}) }

// Guards against running a call twice: the service runs the call and its
// connection closes before the reply; http.Transport treats the kept-alive
// connection as one that was already closed and sends the call again, as it
// does for a call with an Idempotency-Key or an idempotent method whose body it
// can rewind.
func TestCallIsNotRetriedAfterConnectionLoss(t *testing.T) {
	cases := []struct {
		name, method, key string
		body              []byte
	}{
		{"post with a key and a body", http.MethodPost, "k", []byte("keg 7")},
		{"post with a key and no body", http.MethodPost, "k", nil},
		{"post without a key", http.MethodPost, "", []byte("keg 7")},
		{"get", http.MethodGet, "", nil},
		{"delete with a key", http.MethodDelete, "k", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := newClosingServer(t)
			client := newClient()
			// The pool gets a connection back shortly after the reply, so repeat
			// until the server has closed a reused one.
			for reused := 0; reused == 0; {
				openIdleConnection(t, tr, client)
				tr.arm()
				resp, err := client.Do(tr.request(t, c.method, c.key), c.body, nil)
				if err == nil {
					resp.Body.Close()
					t.Fatal("got an answer, although the server closed the connection")
				}
				var runs int
				runs, reused = tr.disarm()
				if runs != 1 {
					t.Fatalf("the call ran %d times", runs)
				}
				if !errors.Is(err, port.ErrEndpointLost) || errors.Is(err, port.ErrNotSent) {
					t.Fatalf("got %v, want ErrEndpointLost and not ErrNotSent", err)
				}
			}
		})
	}
}

func openIdleConnection(t *testing.T, tr *closingServer, client *Client) {
	t.Helper()
	resp, err := client.Do(tr.request(t, http.MethodGet, ""), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// ErrNotSent may be returned only if no byte of the call was sent: for a refused
// connection, but not for one that received the call and closed.
func TestErrNotSentOnlyIfNoByteSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tr := &closingServer{listener: l}
	l.Close()
	resp, err := newClient().Do(tr.request(t, http.MethodPost, ""), []byte("x"), nil)
	if err == nil {
		resp.Body.Close()
	}
	if !errors.Is(err, port.ErrNotSent) {
		t.Fatalf("refused connection: got %v", err)
	}
	server := newClosingServer(t)
	server.arm()
	resp, err = newClient().Do(server.request(t, http.MethodPost, ""), []byte("x"), nil)
	if err == nil {
		resp.Body.Close()
	}
	if !errors.Is(err, port.ErrEndpointLost) || errors.Is(err, port.ErrNotSent) {
		t.Fatalf("closed after receiving the call: got %v", err)
	}
}

// The target of a redirect is not an endpoint of the system, and following it
// would send the call a second time.
func TestRedirectsAreNotFollowed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.RedirectHandler("http://127.0.0.1:1/", http.StatusTemporaryRedirect), ReadHeaderTimeout: testTimeout}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	tr := &closingServer{listener: l}
	resp, err := newClient().Do(tr.request(t, http.MethodPost, ""), []byte("x"), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusTemporaryRedirect {
		t.Fatalf("got %d", resp.StatusCode)
	}
}
