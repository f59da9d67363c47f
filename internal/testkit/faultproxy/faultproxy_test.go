package faultproxy_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/faultproxy"
)

// quiet is how long a held connection is watched for a word.
const quiet = 100 * time.Millisecond

// echo answers each line with itself.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func start(t *testing.T) *faultproxy.Proxy {
	t.Helper()
	p, err := faultproxy.New("127.0.0.1:0", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

type talk struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, p *faultproxy.Proxy) *talk {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &talk{t, c, bufio.NewReader(c)}
}

func (c *talk) say(word string) {
	c.t.Helper()
	if _, err := io.WriteString(c, word+"\n"); err != nil {
		c.t.Fatal(err)
	}
}

func (c *talk) hears(word string) {
	c.t.Helper()
	if got, err := c.in.ReadString('\n'); err != nil || got != word+"\n" {
		c.t.Fatalf("heard %q, %v; want %q", got, err, word)
	}
}

// hearsNothing fails the test where a word comes within the quiet time.
func (c *talk) hearsNothing() {
	c.t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(quiet)); err != nil {
		c.t.Fatal(err)
	}
	var late net.Error
	if got, err := c.in.ReadString('\n'); !errors.As(err, &late) || !late.Timeout() {
		c.t.Fatalf("heard %q, %v", got, err)
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		c.t.Fatal(err)
	}
}

func TestPassesOnAndHoldsOneWay(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	c.say("one")
	c.hears("one")
	for _, harm := range []faultproxy.Harm{{HoldForth: true}, {HoldBack: true}} {
		p.Set(harm)
		c.say("held")
		c.hearsNothing()
		p.Set(faultproxy.Harm{})
		c.hears("held")
	}
}

func TestResetBreaksOpenConnectionsOnly(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	c.say("one")
	c.hears("one")
	p.Reset()
	if _, err := c.in.ReadString('\n'); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("want a reset, got %v", err)
	}
	again := dial(t, p)
	again.say("two")
	again.hears("two")
}

func TestSilenceIsForGoodOnOpenConnectionsOnly(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	c.say("one")
	c.hears("one")
	p.Silence()
	c.say("two")
	c.hearsNothing()
	again := dial(t, p)
	again.say("three")
	again.hears("three")
}

func TestRefusesNewConnections(t *testing.T) {
	p := start(t)
	p.Set(faultproxy.Harm{Refuse: true})
	wantReset(t, p)
}

// wantReset fails the test unless a new connection is reset: while it is made
// or after.
func wantReset(t *testing.T, p *faultproxy.Proxy) {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	if err == nil {
		defer c.Close()
		_, err = c.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("want a reset, got %v", err)
	}
}

func TestDelays(t *testing.T) {
	p := start(t)
	p.Set(faultproxy.Harm{Delay: quiet})
	c := dial(t, p)
	before := time.Now()
	c.say("one")
	c.hears("one")
	if took := time.Since(before); took < 2*quiet {
		t.Fatalf("took %v both ways", took)
	}
}

// A target that is gone shows as a reset, not as a connection that hangs.
func TestTargetIsGone(t *testing.T) {
	p, err := faultproxy.New("127.0.0.1:0", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	wantReset(t, p)
}
