package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of a runner, as those of depot-app.
const (
	slots       = 6
	queueLength = 24
	work        = 30 * time.Millisecond
	bodyBytes   = 800
	idleTimeout = 10 * time.Second
)

// host is an address at which one runner after the other listens.
type host struct {
	name    string
	address string
	record  *record
	// onRun is called for each request that a runner begins to work on.
	onRun func(requestID, runnerID string)
	// unframed makes answers end with their connection.
	unframed bool
	// spoil decides whether an answer is sent a second time, late; nil for never.
	spoil func(status int) bool
	// halfway is called when half of an answer's body has been sent; nil for nothing.
	halfway func()

	mu   sync.Mutex
	id   string
	dark bool
	// healed is closed at the end of a cut; nil while there is none.
	healed   chan struct{}
	listener net.Listener
	conns    map[net.Conn]bool
	busy     chan struct{}
	waiting  int
	answers  int
}

func newHost(name string, rec *record) (*host, error) {
	l, err := net.Listen("tcp", ownAddress+":0")
	if err != nil {
		return nil, err
	}
	address := l.Addr().String()
	return &host{name: name, address: address, record: rec}, l.Close()
}

// start starts a runner with a new id.
func (h *host) start(id string) error {
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.id, h.listener, h.dark = id, l, false
	h.conns, h.busy, h.waiting = map[net.Conn]bool{}, make(chan struct{}, slots), 0
	h.mu.Unlock()
	h.record.add("runner %s starts at host %s", id, h.name)
	go h.accept(l, id)
	return nil
}

func (h *host) accept(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		current := h.id == id && h.listener == l
		if current {
			h.conns[c] = true
		}
		dark := h.dark
		h.mu.Unlock()
		if !current {
			_ = c.Close()
			continue
		}
		if !dark {
			go h.serve(c, id)
		}
	}
}

// crash ends the runner as a kill does: its connections are closed. With dark its host
// is then silent: connections are opened and nothing is answered on them. Otherwise nothing
// listens there.
func (h *host) crash(dark bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		_ = c.Close()
	}
	h.conns = map[net.Conn]bool{}
	h.dark = dark
	if !dark {
		_ = h.listener.Close()
	}
	h.record.add("runner %s crashes; its host is dark: %v", h.id, dark)
	if !dark {
		h.id = ""
	}
}

// cut holds all connections until heal is called: nothing is read from them or answered.
func (h *host) cut() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.healed = make(chan struct{})
	h.record.add("host %s is cut off", h.name)
}

func (h *host) heal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.healed)
	h.healed = nil
	h.record.add("host %s is back", h.name)
}

// awaitPath waits while the host is cut off.
func (h *host) awaitPath() {
	h.mu.Lock()
	healed := h.healed
	h.mu.Unlock()
	if healed != nil {
		<-healed
	}
}

// stop closes everything.
func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		_ = h.listener.Close()
	}
	for c := range h.conns {
		_ = c.Close()
	}
}

// isRunning reports whether a runner still runs here.
func (h *host) isRunning(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.id == id && !h.dark
}

// serve serves the requests of one connection, one at a time.
func (h *host) serve(c net.Conn, id string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var late []byte
	for {
		h.awaitPath()
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		h.awaitPath()
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != nil {
			h.record.add("runner %s sends its last answer again on %s, late, where that to %s is expected", id, c.RemoteAddr(), req.Header.Get("Dragonflyrail-Request-Id"))
			_, _ = c.Write(late)
			late = nil
		}
		answer, status, open := h.answer(c, id, req, body)
		h.awaitPath()
		if answer != nil {
			if _, err := c.Write(answer); err != nil {
				return
			}
			h.mu.Lock()
			h.answers++
			spoil := h.spoil
			h.mu.Unlock()
			if spoil != nil && req.Header.Get("Dragonflyrail-Request-Id") != "" && spoil(status) {
				late = answer
			}
		}
		if !open {
			return
		}
	}
}

// answer answers one request. The answer is nil if it has been sent already; open reports
// whether the connection stays open.
func (h *host) answer(c net.Conn, id string, req *http.Request, _ []byte) (answer []byte, status int, open bool) {
	requestID := req.Header.Get("Dragonflyrail-Request-Id")
	header := http.Header{"Keep-Alive": {fmt.Sprintf("timeout=%d", int(idleTimeout.Seconds()))}}
	if requestID != "" {
		header.Set("Dragonflyrail-Request-Id", requestID)
	}
	if expected := req.Header.Get("Dragonflyrail-Expect-Instance"); expected != "" && expected != id {
		h.record.add("runner %s answers 421 to %s, which is for %s, on %s", id, requestID, expected, c.RemoteAddr())
		return response(http.StatusMisdirectedRequest, header, ""), http.StatusMisdirectedRequest, true
	}
	if req.URL.Path == "/health" {
		header.Set("Dragonflyrail-Instance-Id", id)
		return response(http.StatusOK, header, ""), http.StatusOK, true
	}
	if requestID == "" {
		header.Set("Dragonflyrail-Not-Executed", "1")
		return response(http.StatusBadRequest, header, ""), http.StatusBadRequest, true
	}
	busy, admitted := h.enter()
	if !admitted {
		header.Set("Dragonflyrail-Not-Executed", "1")
		return response(http.StatusServiceUnavailable, header, ""), http.StatusServiceUnavailable, true
	}
	defer func() { <-busy }()
	if !h.isRunning(id) {
		return nil, 0, false
	}
	h.record.add("runner %s runs %s", id, requestID)
	h.onRun(requestID, id)
	header.Set("Dragonflyrail-Response-Seal", "seal-of-"+id)
	header.Set("Dragonflyrail-Server-Load", fmt.Sprintf("%d,0,%d", len(busy), slots))
	body := wholeBody(requestID)
	if !h.unframed {
		time.Sleep(work)
		return response(http.StatusOK, header, body), http.StatusOK, true
	}
	header.Del("Keep-Alive")
	header.Set("Connection", "close")
	time.Sleep(work / 2)
	if _, err := io.WriteString(c, head(http.StatusOK, header)+body[:len(body)/2]); err != nil {
		return nil, 0, false
	}
	if h.halfway != nil {
		// The part is on its way before the runner can crash.
		time.Sleep(work / 4)
		h.halfway()
	}
	time.Sleep(work / 4)
	if !h.isRunning(id) {
		return nil, 0, false
	}
	_, _ = io.WriteString(c, body[len(body)/2:])
	return nil, 0, false
}

// enter waits for a slot. It reports false if the queue is full.
func (h *host) enter() (busy chan struct{}, admitted bool) {
	h.mu.Lock()
	busy = h.busy
	if h.waiting >= queueLength {
		h.mu.Unlock()
		return nil, false
	}
	h.waiting++
	h.mu.Unlock()
	busy <- struct{}{}
	h.mu.Lock()
	h.waiting--
	h.mu.Unlock()
	return busy, true
}

// wholeBody returns the whole body of the answer to a request, which is the same at all
// runners.
func wholeBody(requestID string) string {
	return strings.Repeat("answer to "+requestID+".", bodyBytes/(len(requestID)+11)+1)
}

// response returns an answer with a length.
func response(status int, header http.Header, body string) []byte {
	header.Set("Content-Length", fmt.Sprint(len(body)))
	return []byte(head(status, header) + body)
}

func head(status int, header http.Header) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	// Write to a buffer never fails.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.String()
}
