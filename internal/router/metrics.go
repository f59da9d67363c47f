package router

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
)

// Sample of the histograms: exponentially decaying, for the last minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// instruments are the router's metrics. Times are in microseconds.
type instruments struct {
	firstToken gometrics.Histogram
	tokenGap   gometrics.Histogram
	hold       gometrics.Histogram
	open       gometrics.Counter
	tokens     gometrics.Counter
	dropped    gometrics.Counter
	resumes    gometrics.Counter
	moves      gometrics.Counter
	refusals   gometrics.Counter
	failures   gometrics.Counter
	cancels    gometrics.Counter
	pending    gometrics.Gauge
	claims     gometrics.Histogram
	services   gometrics.Histogram
	retries    gometrics.Counter
	crashes    gometrics.Counter
}

func newInstruments(r gometrics.Registry) *instruments {
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter(name, r) }
	return &instruments{
		firstToken: registered(r, "generation_first_token_us"),
		tokenGap:   registered(r, "generation_token_gap_us"),
		hold:       registered(r, "generation_hold_us"),
		open:       counter("requests_open_count"),
		tokens:     counter("generation_tokens_total"),
		dropped:    counter("generation_frames_dropped_total"),
		resumes:    counter("generation_resumes_total"),
		moves:      counter("generation_moves_total"),
		refusals:   counter("requests_refused_total"),
		failures:   counter("requests_failed_total"),
		cancels:    counter("generation_cancels_total"),
		pending:    gometrics.GetOrRegisterGauge("generation_cancels_pending_count", r),
		claims:     registered(r, "claim_wait_us"),
		services:   registered(r, "service_call_us"),
		retries:    counter("service_retries_total"),
		crashes:    counter("endpoint_crashes_total"),
	}
}

func registered(r gometrics.Registry, name string) gometrics.Histogram {
	sample := gometrics.NewExpDecaySample(sampleSize, sampleAlpha)
	return gometrics.GetOrRegisterHistogram(name, r, sample)
}

func observe(h gometrics.Histogram, d time.Duration) { h.Update(d.Microseconds()) }

// refused counts a request without a whole answer by its outcome.
func (i *instruments) refused(o outcome.Outcome) {
	if o == outcome.NotRun {
		i.refusals.Inc(1)
		return
	}
	i.failures.Inc(1)
}
