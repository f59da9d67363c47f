// Command lapse cuts all runners off from the store alone, a little longer than their entries
// last, after a final fault, and checks whether the daemons use them again.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/dragonflyrail/dragonflyrail/review/cases-2/lab"
)

const (
	// cutAfter is the time from the return of the daemons to the cut, cutFor its length.
	cutAfter = 2 * time.Second
	cutFor   = 3800 * time.Millisecond
	// stagger is the time between the starts of the two services' runners, and so between
	// their heartbeats.
	stagger = 250 * time.Millisecond
	daemons = 6
)

func main() {
	l, err := lab.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(lab.NotRun)
	}
	l.Configure()
	var runners []*lab.Runner
	add := func(r *lab.Runner) {
		if err := l.AddRunner(r); err != nil {
			l.Fail(err)
		}
		runners = append(runners, r)
	}
	for i := range 2 {
		add(&lab.Runner{ID: fmt.Sprintf("i-model-%d", i+1), Service: lab.ModelPool, IsEngine: true})
	}
	time.Sleep(stagger)
	for i := range 3 {
		add(&lab.Runner{ID: fmt.Sprintf("i-call-%d", i+1), Service: lab.CallPool, Work: 15 * time.Millisecond})
	}
	v, err := l.NewRecovery(daemons)
	if err != nil {
		l.Fail(err)
	}
	v.Play(lab.RecoveryTime/2, func(back time.Time) {
		time.Sleep(time.Until(back.Add(cutAfter)))
		runners[len(runners)-1].AwaitBeat()
		time.Sleep(stagger / 2)
		l.Log("all runners are cut off from the store")
		for _, r := range runners {
			r.Cut(true)
		}
		time.Sleep(cutFor)
		for _, r := range runners {
			r.Cut(false)
		}
		l.Log("the cut has healed")
	})
}
