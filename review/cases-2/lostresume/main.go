// Command lostresume drains a model runner while another one loses its answer to a stream
// that goes on there, and checks whether the stream goes on at a third place meanwhile.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/review/cases-2/lab"
)

const (
	streams = 24
	// overlap is the time that a runner may still work on a request after it has gone on at
	// another.
	overlap  = 400 * time.Millisecond
	patience = 39 * time.Second
	// drainAfter is the time from the last request to the drain, watchFor the time from
	// there on in which the runs are observed: the drained runner leaves at its end.
	drainAfter = 2 * time.Second
	watchFor   = 2 * time.Second
	eventEvery = 35 * time.Millisecond
	// copyTime and copyNewTime are the times of the first copy of a run and of later ones, at
	// the rate of the site's links.
	copyTime    = 15 * time.Millisecond
	copyNewTime = time.Millisecond
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
	l.Judge(len(f.twice) > 0, "%d of %d streams that moved were worked on at two runners for %v and more: %v; %s ran %d requests and lost %d answers",
		len(f.twice), f.moved, overlap, f.twice, f.target, f.ran, f.lost)
}

type figures struct {
	// twice lists the streams that were worked on at two runners, moved counts those that
	// left the draining one.
	twice []string
	moved int
	// target is the other runner, with the number of requests that it ran and of the answers
	// that it lost.
	target    string
	ran, lost int
}

// loser picks the one request whose answer is lost.
type loser struct {
	mu   sync.Mutex
	left int
}

func (p *loser) take(string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left == 0 {
		return false
	}
	p.left--
	return true
}

func play(l *lab.Lab) (f figures, err error) {
	l.Configure()
	engines := l.NewEngines()
	source := &lab.Engine{ID: "i-model-1", EventEvery: eventEvery, CopyFor: copyTime, CopyNewFor: copyNewTime}
	target := &lab.Engine{ID: "i-model-2", EventEvery: eventEvery, CopyFor: copyTime, CopyNewFor: copyNewTime}
	if l.Trouble {
		target.LosesAnswer = (&loser{left: 1}).take
		f.lost = 1
	}
	for _, e := range []*lab.Engine{source, target} {
		if err := engines.Add(e); err != nil {
			return f, err
		}
	}
	daemons, err := l.AddDaemons(3)
	if err != nil {
		return f, err
	}
	if err := l.AwaitReady(10 * time.Second); err != nil {
		return f, err
	}
	time.Sleep(2 * time.Second)
	var ids []string
	for i := range streams {
		c, err := l.Connect(daemons[0])
		if err != nil {
			return f, err
		}
		id := fmt.Sprintf("g%02d", i)
		ids = append(ids, id)
		go c.Ask(&lab.Request{ID: id, Method: http.MethodPost, Path: "/report/x", Body: "logs", Deadline: patience, Tokens: "500,940"})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(drainAfter)
	source.Drain()
	since, counted := map[string]time.Time{}, map[string]bool{}
	for began := time.Now(); time.Since(began) < watchFor; time.Sleep(10 * time.Millisecond) {
		for _, id := range ids {
			if !source.Works(id) || !target.Works(id) {
				delete(since, id)
				continue
			}
			if since[id].IsZero() {
				since[id] = time.Now()
			}
			if both := time.Since(since[id]); both >= overlap && !counted[id] {
				counted[id] = true
				f.twice = append(f.twice, id)
				l.Log("%s and %s both work on %s, for %v now", source.ID, target.ID, id, both.Round(time.Millisecond))
			}
		}
	}
	f.target, f.ran, f.moved = target.ID, target.Started(), target.Continued()
	if f.moved == 0 {
		return f, fmt.Errorf("no stream went on at %s", target.ID)
	}
	return f, nil
}
