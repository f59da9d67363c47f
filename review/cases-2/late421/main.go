// Command late421 gives the address of a crashed runner to a runner of another service that
// hands out an answer twice, and checks whether an unsafe request runs more than once.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/review/cases-2/lab"
)

const (
	// addressReuse is addr_reuse_s.
	addressReuse = 2 * time.Second
	callDeadline = 600 * time.Millisecond
	// pace is the time between two requests of the client.
	pace = 20 * time.Millisecond
	work = 15 * time.Millisecond
	// maxPings bounds the requests until one is sent to the crashed runner, desks is the
	// number of requests after it, and otherDesks that of requests through another daemon.
	maxPings   = 40
	desks      = 30
	otherDesks = 240
)

func main() {
	l, err := lab.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(lab.NotRun)
	}
	f, err := play(l)
	if err != nil {
		l.Fail(err)
	}
	l.Judge(f.twice > 0, "%d of %d unsafe requests ran more than once; the faulty runner answered %d and said 421 to %d",
		f.twice, f.ran, f.answers, f.misdirected)
}

// figures are what was seen.
type figures struct {
	// ran counts the requests that ran, twice those of them that ran more than once.
	ran, twice int
	// answers counts the answers of the faulty runner, misdirected those with status 421.
	answers, misdirected int
}

func play(l *lab.Lab) (f figures, err error) {
	l.Configure()
	var pings, tiles []*lab.Runner
	for i := range 3 {
		pings = append(pings, &lab.Runner{ID: fmt.Sprintf("i-ping-%d", i+1), Service: lab.CallPool, Work: work})
	}
	for i := range 2 {
		tiles = append(tiles, &lab.Runner{ID: fmt.Sprintf("i-desk-%d", i+1), Service: lab.DeskPool, Work: work})
	}
	crashing := pings[2]
	for _, r := range append(pings[:2:2], tiles...) {
		if err := l.AddRunner(r, ""); err != nil {
			return f, err
		}
	}
	crash, err := l.AddCrashingRunner(crashing)
	if err != nil {
		return f, err
	}
	daemons, err := l.AddDaemons(3)
	if err != nil {
		return f, err
	}
	if err := l.AwaitReady(10 * time.Second); err != nil {
		return f, err
	}
	asker := &asker{lab: l}
	if err := asker.connect(daemons[0]); err != nil {
		return f, err
	}
	for range 20 {
		asker.ask("/ping/x")
		asker.ask("/desk/x")
	}
	// The runner is idle when it crashes.
	time.Sleep(time.Second)
	l.Log("%s crashes at %s", crashing.ID, crashing.Address)
	crash()
	time.Sleep(addressReuse + 100*time.Millisecond)
	faulty := &repeater{lab: l, id: "i-desk-3", repeats: l.Trouble}
	if err := faulty.start(crashing.Address); err != nil {
		return f, err
	}
	time.Sleep(200 * time.Millisecond)
	for i := 0; i < maxPings && faulty.misdirected() == 0; i++ {
		asker.ask("/ping/x")
	}
	for range desks {
		asker.ask("/desk/x")
	}
	// The other answers of the faulty runner, which are sound.
	if err := asker.connect(daemons[1]); err != nil {
		return f, err
	}
	for range otherDesks {
		asker.ask("/desk/x")
	}
	time.Sleep(time.Second)
	runs := map[string][]string{}
	for _, r := range append(pings, tiles...) {
		for id, n := range r.Ran() {
			for range n {
				runs[id] = append(runs[id], r.ID)
			}
		}
	}
	for _, id := range faulty.ran() {
		runs[id] = append(runs[id], faulty.id)
	}
	for id, at := range runs {
		if len(at) > 1 {
			f.twice++
			l.Log("%s, which is unsafe, ran at %v", id, at)
		}
	}
	f.ran, f.misdirected = len(runs), faulty.misdirected()
	f.answers = len(faulty.ran()) + f.misdirected
	if f.misdirected == 0 {
		return f, fmt.Errorf("no request for %s reached the runner that has its address now", crashing.ID)
	}
	return f, nil
}

// asker sends unsafe requests one after the other on a kept connection.
type asker struct {
	lab    *lab.Lab
	client *lab.Client
	daemon *lab.Daemon
	sent   int
}

func (a *asker) connect(d *lab.Daemon) (err error) {
	a.daemon = d
	a.client, err = a.lab.Connect(d)
	return err
}

func (a *asker) ask(path string) {
	a.sent++
	answer := a.client.Ask(&lab.Request{ID: fmt.Sprintf("r%03d", a.sent), Method: http.MethodPost, Path: path, Body: "once", Deadline: callDeadline})
	if !answer.Whole() {
		if err := a.connect(a.daemon); err != nil {
			a.lab.Fail(err)
		}
	}
	time.Sleep(pace)
}

// repeater is a plain runner that, if repeats is set, hands out one answer a second time,
// late: where the next answer on that connection is due.
type repeater struct {
	lab     *lab.Lab
	id      string
	repeats bool

	mu      sync.Mutex
	runs    []string
	refused int
}

func (p *repeater) start(address string) error {
	// The former listener has just been closed.
	config := net.ListenConfig{}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	p.lab.Log("%s of service %s starts at %s", p.id, lab.DeskPool, address)
	p.lab.Register(p.id, lab.DeskPool, address)
	return nil
}

func (p *repeater) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	extra := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Dragonflyrail-Request-Id")
		if extra != "" {
			p.lab.Log("%s hands out its last answer on this connection again, where the one to %s is due", p.id, id)
			if _, err := io.WriteString(conn, extra); err != nil {
				return
			}
		}
		answer := p.answer(r, id)
		if _, err := io.WriteString(conn, answer); err != nil {
			p.lab.Log("%s can't answer %s: %v", p.id, id, err)
			return
		}
		extra = ""
		if p.takeRepeat() {
			extra = answer
		}
	}
}

func (p *repeater) answer(r *http.Request, id string) string {
	if expected := r.Header.Get("Dragonflyrail-Expect-Instance"); expected != "" && expected != p.id {
		p.mu.Lock()
		p.refused++
		p.mu.Unlock()
		p.lab.Log("%s answers 421 to %s, which is for %s", p.id, id, expected)
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nDragonflyrail-Request-Id: %s\r\nDragonflyrail-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, p.id)
	}
	if r.URL.Path == "/health" {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nDragonflyrail-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", p.id)
	}
	p.mu.Lock()
	p.runs = append(p.runs, id)
	p.mu.Unlock()
	p.lab.Log("%s runs %s", p.id, id)
	time.Sleep(work)
	body := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nDragonflyrail-Request-Id: %s\r\nDragonflyrail-Response-Seal: seal-of-%s\r\nDragonflyrail-Server-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s",
		id, p.id, len(body), body)
}

// takeRepeat reports whether the present answer is the one to be handed out twice.
func (p *repeater) takeRepeat() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	take := p.repeats
	p.repeats = false
	return take
}

func (p *repeater) ran() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.runs...)
}

func (p *repeater) misdirected() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}
