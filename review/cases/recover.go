package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Times of the case. recovery is the bound recovery_s, which the pages set.
const (
	restartAfter = 500 * time.Millisecond
	cutFor       = 5 * time.Second
	recovery     = 12 * time.Second
	watched      = 8 * time.Second
)

// playRecover kills all daemons, and cuts the runners off from them and from the store for a
// while when they are back. It returns 1 if less than a quarter of the requests sent later
// than recovery_s after the daemons are back is served, though a quarter was before.
func playRecover(rec *record, trouble bool) (broken int, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := newFleet(ctx, rec, func(h *host) { h.onRun = func(string, string) {} })
	defer f.stop()
	if err != nil {
		return 0, err
	}
	before, err := servedShare(ctx, f, quietBefore)
	if err != nil {
		return 0, err
	}
	if trouble {
		f.killDaemons()
		time.Sleep(restartAfter)
		if err := f.waitReady(ctx); err != nil {
			return 0, err
		}
	}
	back := time.Now()
	meanwhile, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { _, _ = servedShare(meanwhile, f, recovery) })
	if trouble {
		for _, h := range f.hosts {
			h.cut()
		}
		time.Sleep(cutFor)
		for _, h := range f.hosts {
			h.heal()
		}
	}
	time.Sleep(recovery - time.Since(back))
	stop()
	load.Wait()
	after, err := servedShare(ctx, f, watched)
	if err != nil {
		return 0, err
	}
	rec.add("served: %.2f of the requests before, %.2f of those sent later than %v after the daemons were back", before, after, recovery)
	if before >= 0.25 && after < 0.25 {
		rec.add("BROKEN: less than a quarter is served")
		return 1, nil
	}
	return 0, nil
}

// servedShare sends requests for a time and returns the share that is answered with success.
func servedShare(ctx context.Context, f *fleet, length time.Duration) (float64, error) {
	c := newClients(f)
	sending, stop := context.WithTimeout(ctx, length)
	defer stop()
	var load sync.WaitGroup
	load.Go(func() { c.run(sending, unsafePerS, http.MethodPost, unsafePath) })
	load.Go(func() { c.run(sending, safePerS, http.MethodGet, safePath) })
	load.Wait()
	served := 0
	answers := c.all()
	for _, a := range answers {
		if a.status/100 == 2 {
			served++
		}
	}
	if len(answers) == 0 {
		return 0, ctx.Err()
	}
	return float64(served) / float64(len(answers)), nil
}
