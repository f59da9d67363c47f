package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times and doses of the case.
const (
	quietBefore  = 8 * time.Second
	crashes      = 12
	betweenCrash = 6500 * time.Millisecond
	downFor      = 500 * time.Millisecond
	// faultyFor is how long the runner is faulty each time, and faultyBefore how long before
	// the crash that begins. Meanwhile it sends up to spoiledShare of its answers again.
	faultyFor    = 5 * time.Second
	faultyBefore = time.Second
	spoiledShare = 0.03
	unsafePerS   = 28.1
	safePerS     = 11.3
)

// spoiler chooses the answers to requests that one host sends a second time while it is
// faulty: those with status 421, as far as the share of its answers in that time allows.
type spoiler struct {
	mu               sync.Mutex
	faulty           bool
	answers, spoiled int
}

func (s *spoiler) setFaulty(faulty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = faulty
}

func (s *spoiler) spoil(status int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faulty {
		return false
	}
	s.answers++
	if status != http.StatusMisdirectedRequest || float64(s.spoiled+1) > spoiledShare*float64(s.answers) {
		return false
	}
	s.spoiled++
	return true
}

// playTwice restarts a runner some times, which sends some of its answers again, late, and
// returns how many requests that must run once ran more than once.
func playTwice(rec *record, trouble bool) (broken int, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	runs := map[string][]string{}
	f, err := newFleet(ctx, rec, func(h *host) {
		h.onRun = func(requestID, runnerID string) {
			mu.Lock()
			defer mu.Unlock()
			runs[requestID] = append(runs[requestID], runnerID)
		}
	})
	defer f.stop()
	if err != nil {
		return 0, err
	}
	faulty, s := f.hosts[0], &spoiler{}
	if trouble {
		faulty.mu.Lock()
		faulty.spoil = s.spoil
		faulty.mu.Unlock()
	}
	c := newClients(f)
	sending, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { c.run(sending, unsafePerS, http.MethodPost, unsafePath) })
	time.Sleep(quietBefore)
	for n := range crashes {
		if !trouble {
			time.Sleep(betweenCrash)
			continue
		}
		s.setFaulty(true)
		time.Sleep(faultyBefore)
		faulty.crash(false)
		time.Sleep(downFor)
		if err := f.startRunner(ctx, faulty, fmt.Sprintf("i-1-%d", n+2)); err != nil {
			stop()
			return 0, err
		}
		time.Sleep(faultyFor - faultyBefore - downFor)
		s.setFaulty(false)
		time.Sleep(betweenCrash - faultyFor)
	}
	stop()
	load.Wait()
	time.Sleep(2 * work)
	mu.Lock()
	defer mu.Unlock()
	answers := c.all()
	for id, where := range runs {
		status := answers[id].status
		if len(where) > 1 {
			broken++
			rec.add("BROKEN: %s, of an unsafe route, ran %d times, at %v; the client got %d", id, len(where), where, status)
		}
	}
	rec.add("%d requests sent, %d run, %d broke the rule; the faulty runner sent %d of its %d answers in the faulty times again", len(answers), len(runs), broken, s.spoiled, s.answers)
	return broken, nil
}
