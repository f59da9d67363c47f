package claimstore

import (
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// counters holds a keeper's metrics of claims.
type counters struct {
	registry     gometrics.Registry
	writes       gometrics.Counter
	writtenBytes gometrics.Counter
	reads        gometrics.Counter
	conflicts    gometrics.Counter
	failures     gometrics.Counter
}

func newCounters(r gometrics.Registry) *counters {
	return &counters{
		registry:     r,
		writes:       gometrics.GetOrRegisterCounter("claims_platform_writes_count", r),
		writtenBytes: gometrics.GetOrRegisterCounter("claims_platform_written_bytes", r),
		reads:        gometrics.GetOrRegisterCounter("claims_platform_reads_count", r),
		conflicts:    gometrics.GetOrRegisterCounter("claims_platform_conflicts_count", r),
		failures:     gometrics.GetOrRegisterCounter("claims_platform_failures_count", r),
	}
}

func (c *counters) countVerdict(r claim.Result) {
	name := "claims_" + string(r.Verdict)
	if r.Verdict == port.ClaimUnavailable {
		name += "_" + string(r.Reason)
	}
	gometrics.GetOrRegisterCounter(name+"_count", c.registry).Inc(1)
}
