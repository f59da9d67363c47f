package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Client is a client with one kept connection to a daemon.
type Client struct {
	lab    *Lab
	daemon *Daemon
	conn   net.Conn
	in     *bufio.Reader
}

// Connect opens a connection to a daemon.
func (l *Lab) Connect(d *Daemon) (*Client, error) {
	conn, err := net.DialTimeout("tcp", d.Callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{lab: l, daemon: d, conn: conn, in: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() { c.conn.Close() }

// Request is one client attempt.
type Request struct {
	ID string
	// Method and Path select the kind of request.
	Method, Path string
	Body         string
	// Deadline is how long the client waits.
	Deadline time.Duration
	// Tokens are the numbers of tokens of a generation, as in "1000,940".
	Tokens string
}

// Answer is the end of a client attempt.
type Answer struct {
	Status int
	Sealed bool
	Body   string
	// Sent is when the last byte of the request was sent, Ended when the answer or the
	// connection ended.
	Sent, Ended time.Time
	// Err is set if the connection ended without a whole answer, or the deadline passed.
	Err error
}

// Whole reports whether the client has a whole answer.
func (a *Answer) Whole() bool { return a.Err == nil }

// TimedOut reports whether the deadline passed without a whole answer.
func (a *Answer) TimedOut() bool {
	var timeout net.Error
	return errors.As(a.Err, &timeout) && timeout.Timeout()
}

// Ask sends a request on the kept connection and reads its answer.
func (c *Client) Ask(q *Request) *Answer {
	a := &Answer{}
	header := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nDragonflyrail-Request-Id: %s\r\nDragonflyrail-Deadline-Remaining: %d\r\n",
		q.Method, q.Path, Host, Key, q.ID, q.Deadline.Milliseconds())
	if q.Tokens != "" {
		prompt, _, _ := strings.Cut(q.Tokens, ",")
		header += fmt.Sprintf("Dragonflyrail-Model: m\r\nDragonflyrail-Token-Usage: %s\r\nDragonflyrail-Prompt-Prefix: %x:%s\r\n", q.Tokens, time.Now().UnixNano(), prompt)
	}
	if q.Method != http.MethodGet {
		header += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.Deadline))
	_, a.Err = io.WriteString(c.conn, header+"\r\n"+q.Body)
	a.Sent = time.Now()
	c.lab.Log("client sends %s %s %s to %s", q.ID, q.Method, q.Path, c.daemon.ID)
	if a.Err == nil {
		a.Err = c.read(a)
	}
	a.Ended = time.Now()
	switch {
	case a.Whole():
		c.lab.Log("client gets %d for %s, seal %v, %d bytes", a.Status, q.ID, a.Sealed, len(a.Body))
	case a.TimedOut():
		c.lab.Log("client's deadline passes for %s", q.ID)
		c.Close()
	default:
		c.lab.Log("client's connection ends without a whole answer to %s, %d ms after its last byte was sent: %v", q.ID, a.Ended.Sub(a.Sent).Milliseconds(), a.Err)
		c.Close()
	}
	return a
}

func (c *Client) read(a *Answer) error {
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	a.Status, a.Sealed, a.Body = res.StatusCode, res.Header.Get("Dragonflyrail-Response-Seal") != "", string(body)
	return err
}
