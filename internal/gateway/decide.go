package gateway

import (
	"math/rand/v2"
	"strconv"
	"sync/atomic"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Verdicts of decisions beside the scheduler's own.
const (
	verdictFinish = "finish"
	verdictRetry  = "retry"
	verdictMove   = "move"
	verdictCopy   = "copy"
	verdictResume = "resume"
	verdictPanic  = "panic"
	// verdictCrash: an endpoint ended with what it ran.
	verdictCrash = "crash"
	// verdictRelease: a copy is freed.
	verdictRelease = "release"
	// verdictWithdraw: the place is given back before anything was sent.
	verdictWithdraw = "withdraw"
	// verdictCold and verdictWarm: an endpoint has become so.
	verdictCold = "cold"
	verdictWarm = "warm"
	// verdictLimit: an endpoint names another limit, or none any more.
	verdictLimit = "limit"
)

const subjectRequest = "request"

// draw is the balancer's source of chance.
func draw(n int) int { return rand.IntN(n) }

// decisionSequence numbers this process's decisions.
var decisionSequence atomic.Uint64

// decide stamps and records a decision and returns its id.
func (g *Gateway) decide(d *port.DecisionRecord) string {
	d.ID = g.options().ID + ".d." + strconv.FormatUint(decisionSequence.Add(1), 36)
	d.Time = g.Clock()
	if g.Freshness != nil && d.Verdict != verdictFinish {
		d.PlatformAgeMillis = port.AgeMillis(g.Freshness())
	}
	g.Sink.Record(d)
	return d.ID
}

// decideOn records a change of what this daemon believes.
func (g *Gateway) decideOn(subject, id, verdict, reason string, version uint64) {
	g.decide(&port.DecisionRecord{
		Subject: subject, SubjectID: id, Verdict: verdict, Reason: reason, ConfigurationVersion: version,
	})
}
