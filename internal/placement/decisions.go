package placement

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/placement"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// repeatInterval is the time after which an unchanged refusal is recorded again.
// Each pass, every two seconds, finds the same refusal, and a log line for each
// would bury the others.
const repeatInterval = time.Minute

// The verdicts of placement decisions.
const (
	verdictOrder  = "order"
	verdictRefuse = "refuse"
)

// decisionRecorder records decisions, and repeated refusals only once per
// repeatInterval.
type decisionRecorder struct {
	sink port.DecisionSink
	now  func() time.Time

	mu           sync.Mutex
	lastRefusals map[string]recordedRefusal
}

type recordedRefusal struct {
	reason string
	at     time.Time
}

func newDecisionRecorder(sink port.DecisionSink, now func() time.Time) *decisionRecorder {
	return &decisionRecorder{sink: sink, now: now, lastRefusals: map[string]recordedRefusal{}}
}

func (r *decisionRecorder) shouldRecord(subject, reason string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	previous, found := r.lastRefusals[subject]
	if found && previous.reason == reason && now.Sub(previous.at) < repeatInterval {
		return false
	}
	r.dropExpired(now)
	r.lastRefusals[subject] = recordedRefusal{reason, now}
	return true
}

// dropExpired removes refusals that are no longer found, to bound the memory.
func (r *decisionRecorder) dropExpired(now time.Time) {
	for subject, s := range r.lastRefusals {
		if now.Sub(s.at) > 2*repeatInterval {
			delete(r.lastRefusals, subject)
		}
	}
}

// recordRefusedStep records why a step of a runner is not ordered.
func (r *decisionRecorder) recordRefusedStep(s *placement.Step, fence uint64, reason string) {
	if !r.shouldRecord("endpoint "+s.Endpoint.ID, reason) {
		return
	}
	d := decisionOf(s, verdictRefuse, s.Reason+": not ordered, "+reason)
	d.Fence = fence
	r.sink.Record(d)
}

// recordOrder records an order with its fencing number and outcome.
func (r *decisionRecorder) recordOrder(s *placement.Step, o *port.Order, outcome string) {
	r.mu.Lock()
	delete(r.lastRefusals, "endpoint "+s.Endpoint.ID)
	r.mu.Unlock()
	d := decisionOf(s, verdictOrder, string(o.Kind)+": "+s.Reason)
	d.ID, d.Fence, d.Outcome = o.ID, o.Fence, outcome
	r.sink.Record(d)
}

// recordShortfall records why a deployment cannot be satisfied.
func (r *decisionRecorder) recordShortfall(s *placement.Shortfall) {
	subject := port.ObjectModelDeployment + "/" + s.Deployment
	if !r.shouldRecord("configuration "+subject, s.Reason) {
		return
	}
	r.sink.Record(&port.DecisionRecord{
		ID: uuid.NewString(), Time: time.Now(), Subject: "configuration", SubjectID: subject,
		Model: s.Model, Verdict: verdictRefuse, Reason: s.Reason, ConfigurationVersion: s.ConfigurationVersion,
	})
}

func decisionOf(s *placement.Step, verdict, reason string) *port.DecisionRecord {
	return &port.DecisionRecord{
		ID: uuid.NewString(), Time: time.Now(), Subject: "endpoint", SubjectID: s.Endpoint.ID,
		Model: s.Order.Model, Verdict: verdict, Reason: reason, Endpoint: s.Endpoint.ID,
		ConfigurationVersion: s.ConfigurationVersion, Actor: port.ObjectModelDeployment + "/" + s.Deployment,
	}
}
