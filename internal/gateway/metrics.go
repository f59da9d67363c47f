package gateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Parameters of the exponentially decaying samples of the histograms, which
// cover the last minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// instruments are the gateway's metrics. Times are in microseconds.
type instruments struct {
	registry gometrics.Registry

	open           gometrics.Counter
	answered       gometrics.Counter
	balancedByTime gometrics.Counter
	// streamsContinued counts the streams that a new run continued, streamsNotContinued
	// those of resumable routes that ended incomplete.
	streamsContinued    gometrics.Counter
	streamsNotContinued gometrics.Counter
	retries             gometrics.Counter
	events              gometrics.Counter
	routesVersion       gometrics.Gauge
	placementDelay      gometrics.Histogram
	firstEvent          gometrics.Histogram
	eventGap            gometrics.Histogram
	answerDelay         gometrics.Histogram
	copyDuration        gometrics.Histogram
	moves               gometrics.Counter
	panics              gometrics.Counter
	crashes             gometrics.Counter
	limitHits           gometrics.Counter
	leaveNotices        gometrics.Counter
	pauseNotices        gometrics.Counter
	paused              gometrics.Gauge
	evacuated           gometrics.Gauge
	pathsLost           gometrics.Gauge
	poolsLost           gometrics.Gauge
	pathChecks          gometrics.Counter
	relaysSent          gometrics.Counter
	relaysDeclined      gometrics.Counter
	relaysServed        gometrics.Counter
	// entryLeftOut is the number of daemons that the last answer to a caller leaves out.
	entryLeftOut      gometrics.Gauge
	entryChanges      gometrics.Counter
	refusedHostMemory gometrics.Counter
}

func newInstruments(r gometrics.Registry) *instruments {
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter(name, r) }
	histogram := func(name string) gometrics.Histogram {
		return gometrics.GetOrRegisterHistogram(name, r, gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &instruments{
		registry:            r,
		open:                counter("requests_open_count"),
		answered:            counter("requests_answered_total"),
		balancedByTime:      counter("calls_balanced_by_time_total"),
		streamsContinued:    counter("streams_continued_total"),
		streamsNotContinued: counter("streams_not_continued_total"),
		retries:             counter("request_retries_total"),
		events:              counter("stream_events_total"),
		routesVersion:       gometrics.GetOrRegisterGauge("routes_version", r),
		placementDelay:      histogram("request_hold_us"),
		firstEvent:          histogram("stream_first_event_us"),
		eventGap:            histogram("stream_event_gap_us"),
		answerDelay:         histogram("endpoint_answer_us"),
		copyDuration:        histogram("run_copy_us"),
		moves:               counter("runs_moved_total"),
		panics:              counter("panics_total"),
		crashes:             counter("endpoint_crashes_total"),
		limitHits:           counter("endpoint_limits_kept_total"),
		leaveNotices:        counter("endpoint_leave_notices_total"),
		pauseNotices:        counter("endpoint_pause_notices_total"),
		paused:              gometrics.GetOrRegisterGauge("endpoints_paused", r),
		evacuated:           gometrics.GetOrRegisterGauge("evacuated_failure_domains", r),
		pathsLost:           gometrics.GetOrRegisterGauge("endpoint_paths_lost", r),
		poolsLost:           gometrics.GetOrRegisterGauge("pool_paths_lost", r),
		pathChecks:          counter("path_checks_total"),
		relaysSent:          counter("relays_sent_total"),
		relaysDeclined:      counter("relays_declined_total"),
		relaysServed:        counter("relays_served_total"),
		entryLeftOut:        gometrics.GetOrRegisterGauge("entry_hosts_left_out", r),
		entryChanges:        counter("entry_selection_changes_total"),
		refusedHostMemory:   counter("refused_host_memory_total"),
	}
}

// requestRefused counts a request that was refused for a cause.
func (i *instruments) requestRefused(c Cause) {
	gometrics.GetOrRegisterCounter("requests_refused_"+string(c)+"_total", i.registry).Inc(1)
}

// attemptFailed counts a failed attempt by the kind of failure.
func (i *instruments) attemptFailed(kind string) {
	gometrics.GetOrRegisterCounter("endpoint_failures_"+kind+"_total", i.registry).Inc(1)
}

func observe(h gometrics.Histogram, d time.Duration) { h.Update(d.Microseconds()) }
