// Command cutrunners cuts all runners of a service off for five seconds after a final fault,
// and checks whether the daemons use them again.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/faultproxy"
	"github.com/dragonflyrail/dragonflyrail/review/cases-2/lab"
)

const (
	// cutAfter is the time from the return of the daemons to the cut, cutFor its length.
	cutAfter = 500 * time.Millisecond
	cutFor   = 5 * time.Second
)

func main() {
	l, err := lab.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(lab.NotRun)
	}
	l.Configure()
	var runners []*lab.Runner
	var paths []*faultproxy.Proxy
	for i := range 3 {
		r := &lab.Runner{ID: fmt.Sprintf("i-call-%d", i+1), Service: lab.CallPool, Work: 15 * time.Millisecond}
		path, err := l.AddRunnerBehindProxy(r)
		if err != nil {
			l.Fail(err)
		}
		runners, paths = append(runners, r), append(paths, path)
	}
	v, err := l.NewRecovery(3)
	if err != nil {
		l.Fail(err)
	}
	v.Play(lab.RecoveryTime/2, func(back time.Time) {
		time.Sleep(time.Until(back.Add(cutAfter)))
		l.Log("all runners are cut off from the store and from the daemons")
		for i, r := range runners {
			r.Cut(true)
			paths[i].Set(faultproxy.Faults{HoldUpstream: true, HoldDownstream: true})
		}
		time.Sleep(cutFor)
		for i, r := range runners {
			paths[i].Set(faultproxy.Faults{})
			r.Cut(false)
		}
		l.Log("the cut has healed")
	})
}
