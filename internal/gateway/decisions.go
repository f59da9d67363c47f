package gateway

import (
	"math/rand/v2"
	"strconv"
	"sync/atomic"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Verdicts of decisions, besides those of the scheduler.
const (
	verdictFinish = "finish"
	verdictRetry  = "retry"
	verdictMove   = "move"
	verdictCopy   = "copy"
	verdictResume = "resume"
	verdictPanic  = "panic"
	// verdictRelay: a request is passed on to another daemon, or comes from one.
	verdictRelay = "relay"
	// verdictCrash: an endpoint crashed with the requests that it was running.
	verdictCrash = "crash"
	// verdictTrial: a request is sent in spite of a verdict on the parts of its prompt.
	verdictTrial = "trial"
	// verdictRelease: a copy of a run is released.
	verdictRelease = "release"
	// verdictWithdraw: a placement is withdrawn before the request is sent.
	verdictWithdraw = "withdraw"
	// verdictCold and verdictWarm: an endpoint has become cold or warm.
	verdictCold = "cold"
	verdictWarm = "warm"
	// verdictLeave: an endpoint is leaving, by its own answer.
	verdictLeave = "leave"
	// verdictPause and verdictPauseEnded: an endpoint asked this host to send it
	// nothing for a while, and that time has ended.
	verdictPause      = "pause"
	verdictPauseEnded = "pause_ended"
	// verdictCheck: a restarted endpoint is asked for its notices, or has answered.
	verdictCheck = "check"
	// verdictLimit: an endpoint has a new rate limit, or none any more.
	verdictLimit = "limit"
	// verdictBrittle: an endpoint states that too many refusals crash it.
	verdictBrittle = "brittle"
	// verdictPathLost and verdictPathRestored: this daemon has lost or regained its
	// path to an endpoint or to all endpoints of a pool.
	verdictPathLost     = "path_lost"
	verdictPathRestored = "path_restored"
	// verdictSelect: the set of daemons in the answers to callers has changed because of
	// the capacities of their hosts.
	verdictSelect = "select"
)

// Subjects of decisions.
const (
	subjectRequest  = "request"
	subjectEndpoint = "endpoint"
	subjectPool     = "pool"
	// subjectDirectory is the directory; the id is the callers' failure domain.
	subjectDirectory = "directory"
)

// randomIndex is the balancer's source of random numbers.
func randomIndex(n int) int { return rand.IntN(n) }

// decisionSequence counts this process's decisions, for their ids.
var decisionSequence atomic.Uint64

// recordDecision sets the id and time of a decision, records it and returns the
// id.
func (g *Gateway) recordDecision(d *port.DecisionRecord) string {
	d.ID = g.options().ID + ".d." + strconv.FormatUint(decisionSequence.Add(1), 36)
	d.Time = g.Clock()
	if g.PlatformAge != nil && d.Verdict != verdictFinish {
		d.PlatformAgeMillis = port.AgeMillis(g.PlatformAge())
	}
	g.Sink.Record(d)
	return d.ID
}

// recordChange records a change in this daemon's own state of a subject.
func (g *Gateway) recordChange(subject, id, verdict, reason string, version uint64) {
	g.recordDecision(&port.DecisionRecord{
		Subject: subject, SubjectID: id, Verdict: verdict, Reason: reason, ConfigurationVersion: version,
	})
}
