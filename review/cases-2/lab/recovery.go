package lab

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the site bayani-ops and of its final faults.
const (
	// RecoveryTime is recovery_s.
	RecoveryTime = 12 * time.Second
	// downTime is how long the processes are down in a final fault (kill_all).
	downTime = 840 * time.Millisecond

	usualTraffic  = 4 * time.Second
	judgedTraffic = 6 * time.Second
	callDeadline  = 600 * time.Millisecond
	callClients   = 8
	callPause     = 200 * time.Millisecond
)

// Recovery plays a final fault with traffic before and after it, and judges whether the
// deployment serves again.
type Recovery struct {
	lab     *Lab
	daemons []*Daemon
	sent    atomic.Int64

	mu      sync.Mutex
	results []result
}

type result struct {
	sentAt time.Time
	served bool
}

// NewRecovery starts daemons for the runners that have been added, and waits until they are
// ready.
func (l *Lab) NewRecovery(n int) (*Recovery, error) {
	daemons, err := l.AddDaemons(n)
	if err != nil {
		return nil, err
	}
	if err := l.AwaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return &Recovery{lab: l, daemons: daemons}, nil
}

// Play sends traffic, kills all daemons, starts them again, calls disrupt with the time at
// which they are back, if the case runs with its disruption, and judges the requests that
// are sent from recovery_s after that time on, or from settled after the end of disrupt on
// if that is later.
func (v *Recovery) Play(settled time.Duration, disrupt func(back time.Time)) {
	l := v.lab
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for i := range callClients {
		traffic.Go(func() { v.sendCalls(i, stop) })
	}
	time.Sleep(usualTraffic)
	l.Log("final fault: all daemons are killed")
	faultAt := time.Now()
	for _, d := range v.daemons {
		d.Kill()
	}
	time.Sleep(downTime)
	for _, d := range v.daemons {
		if err := d.Start(); err != nil {
			l.Fail(err)
		}
	}
	back := time.Now()
	l.Log("the daemons are back")
	if l.Trouble {
		disrupt(back)
	}
	judgedFrom := back.Add(RecoveryTime)
	if calm := time.Now().Add(settled); l.Trouble && calm.After(judgedFrom) {
		judgedFrom = calm
	}
	time.Sleep(time.Until(judgedFrom))
	l.Log("requests from here on are judged, %.1f s after the daemons were back", time.Since(back).Seconds())
	time.Sleep(judgedTraffic)
	close(stop)
	traffic.Wait()
	servedBefore, sentBefore := v.count(time.Time{}, faultAt.Add(-callDeadline))
	servedAfter, sentAfter := v.count(judgedFrom, time.Now())
	if 4*servedBefore < sentBefore || sentAfter == 0 {
		l.Fail(fmt.Errorf("%d of %d requests were served before the final fault", servedBefore, sentBefore))
	}
	l.Judge(4*servedAfter < sentAfter, "%d of %d requests were served before the final fault, %d of %d later than %v after the machines were back",
		servedBefore, sentBefore, servedAfter, sentAfter, judgedFrom.Sub(back).Round(100*time.Millisecond))
}

// count returns how many requests were sent in a span of time, and how many of them served.
func (v *Recovery) count(from, to time.Time) (served, sent int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.results {
		if r.sentAt.Before(from) || r.sentAt.After(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return served, sent
}

// sendCalls sends safe and unsafe calls in turn on a kept connection, and connects to the
// next daemon after a failure.
func (v *Recovery) sendCalls(client int, stop chan struct{}) {
	var c *Client
	at := client
	for {
		select {
		case <-stop:
			return
		case <-time.After(callPause):
		}
		n := v.sent.Add(1)
		q := &Request{ID: fmt.Sprintf("r%05d", n), Method: http.MethodGet, Path: "/tile/x", Deadline: callDeadline}
		if n%2 == 0 {
			q.Method, q.Path, q.Body = http.MethodPost, "/ping/x", "once"
		}
		sentAt := time.Now()
		served := false
		if c == nil {
			// A daemon that is down takes no connection; the request counts as not served.
			c, _ = v.lab.Connect(v.daemons[at%len(v.daemons)])
		}
		if c != nil {
			a := c.Ask(q)
			served = a.Whole() && a.Status == http.StatusOK && a.Sealed
			if !a.Whole() {
				c = nil
			}
		}
		if !served {
			if c != nil {
				c.Close()
				c = nil
			}
			at++
		}
		v.mu.Lock()
		v.results = append(v.results, result{sentAt, served})
		v.mu.Unlock()
	}
}
