package router

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
)

// Parameters of the exponentially decaying histogram samples, which represent the
// last minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// instruments holds the router's metrics. Times are in microseconds.
type instruments struct {
	firstToken     gometrics.Histogram
	tokenGap       gometrics.Histogram
	holdTime       gometrics.Histogram
	openRequests   gometrics.Counter
	tokens         gometrics.Counter
	droppedFrames  gometrics.Counter
	resumes        gometrics.Counter
	moves          gometrics.Counter
	refusals       gometrics.Counter
	failures       gometrics.Counter
	cancels        gometrics.Counter
	pendingCancels gometrics.Gauge
	claimWait      gometrics.Histogram
	serviceCall    gometrics.Histogram
	retries        gometrics.Counter
	crashes        gometrics.Counter
}

func newInstruments(r gometrics.Registry) *instruments {
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter(name, r) }
	return &instruments{
		firstToken:     registerHistogram(r, "generation_first_token_us"),
		tokenGap:       registerHistogram(r, "generation_token_gap_us"),
		holdTime:       registerHistogram(r, "generation_hold_us"),
		openRequests:   counter("requests_open_count"),
		tokens:         counter("generation_tokens_total"),
		droppedFrames:  counter("generation_frames_dropped_total"),
		resumes:        counter("generation_resumes_total"),
		moves:          counter("generation_moves_total"),
		refusals:       counter("requests_refused_total"),
		failures:       counter("requests_failed_total"),
		cancels:        counter("generation_cancels_total"),
		pendingCancels: gometrics.GetOrRegisterGauge("generation_cancels_pending_count", r),
		claimWait:      registerHistogram(r, "claim_wait_us"),
		serviceCall:    registerHistogram(r, "service_call_us"),
		retries:        counter("service_retries_total"),
		crashes:        counter("endpoint_crashes_total"),
	}
}

func registerHistogram(r gometrics.Registry, name string) gometrics.Histogram {
	sample := gometrics.NewExpDecaySample(sampleSize, sampleAlpha)
	return gometrics.GetOrRegisterHistogram(name, r, sample)
}

func observe(h gometrics.Histogram, d time.Duration) { h.Update(d.Microseconds()) }

// countRefusal counts a request without a complete answer: as refused if it was not
// run, otherwise as failed.
func (i *instruments) countRefusal(o outcome.Outcome) {
	if o == outcome.NotRun {
		i.refusals.Inc(1)
		return
	}
	i.failures.Inc(1)
}
