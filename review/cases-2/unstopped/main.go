// Command unstopped drains a model runner that resets the call that is to stop one of its
// runs, and checks whether the run goes on elsewhere while the runner still works on it.
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/review/cases-2/lab"
)

const (
	streams = 28
	// otherRunners are those beside the one that is drained.
	otherRunners = 6
	// overlap is the time that a runner may still work on a request after it has gone on at
	// another.
	overlap  = 400 * time.Millisecond
	patience = 39 * time.Second
	// drainAfter is the time from the first request to the drain, watchFor the time from
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
	twice, moved, err := play(l)
	if err != nil {
		l.Fail(err)
	}
	l.Judge(len(twice) > 0, "%d of %d streams that moved went on at another runner while the runner before still worked on them %v later: %v",
		len(twice), moved, overlap, twice)
}

func play(l *lab.Lab) (twice []string, moved int, err error) {
	l.Configure()
	engines := l.NewEngines()
	source := &lab.Engine{ID: "i-model-1", EventEvery: eventEvery, CopyFor: copyTime, CopyNewFor: copyNewTime, WorksOn: true}
	var once sync.Once
	source.OnCopy = func(w http.ResponseWriter, _ *http.Request, c lab.Copy) (dealt bool) {
		if !l.Trouble || !c.Last {
			return false
		}
		once.Do(func() {
			l.Log("%s resets the call to stop %s and copy its last part", source.ID, c.ID)
			lab.ResetConnection(w)
			dealt = true
		})
		return dealt
	}
	all := []*lab.Engine{source}
	for i := range otherRunners {
		all = append(all, &lab.Engine{ID: fmt.Sprintf("i-model-%d", i+2), EventEvery: eventEvery, CopyFor: copyTime, CopyNewFor: copyNewTime})
	}
	for _, e := range all {
		if err := engines.Add(e); err != nil {
			return nil, 0, err
		}
	}
	others := all[1:]
	daemons, err := l.AddDaemons(3)
	if err != nil {
		return nil, 0, err
	}
	if err := l.AwaitReady(10 * time.Second); err != nil {
		return nil, 0, err
	}
	time.Sleep(2 * time.Second)
	for i := range streams {
		c, err := l.Connect(daemons[0])
		if err != nil {
			return nil, 0, err
		}
		go c.Ask(&lab.Request{ID: fmt.Sprintf("g%02d", i), Method: http.MethodPost, Path: "/report/x", Body: "logs", Deadline: patience, Tokens: "1000,940"})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(drainAfter)
	var atSource []string
	for i := range streams {
		if id := fmt.Sprintf("g%02d", i); source.Works(id) {
			atSource = append(atSource, id)
		}
	}
	if len(atSource) == 0 {
		return nil, 0, fmt.Errorf("no stream runs at %s", source.ID)
	}
	source.Drain()
	both := map[string]time.Time{}
	counted := map[string]bool{}
	went := map[string]bool{}
	for began := time.Now(); time.Since(began) < watchFor; time.Sleep(10 * time.Millisecond) {
		for _, id := range atSource {
			at := slices.IndexFunc(others, func(e *lab.Engine) bool { return e.Works(id) })
			if at < 0 {
				continue
			}
			went[id] = true
			if both[id].IsZero() {
				both[id] = time.Now()
			}
			if source.Works(id) && time.Since(both[id]) >= overlap && !counted[id] {
				counted[id] = true
				twice = append(twice, id)
				l.Log("%s and %s both work on %s, %v after it went on", source.ID, others[at].ID, id, time.Since(both[id]).Round(time.Millisecond))
			}
		}
	}
	if len(went) == 0 {
		return nil, 0, fmt.Errorf("none of %d streams went on elsewhere", len(atSource))
	}
	return twice, len(went), nil
}
