package router

import (
	"math/rand/v2"

	"github.com/google/uuid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Verdicts of the decisions that the router records in addition to the scheduler's.
const (
	verdictFinish = "finish"
	verdictMove   = "move"
	verdictResume = "resume"
	verdictCancel = "cancel"
)

const subjectRequest = "request"

// NewRequestID returns a new request id that contains this router's id.
func (r *Router) NewRequestID() string { return r.o.ID + "." + uuid.NewString() }

// randIntN is the balancer's source of random numbers.
func randIntN(n int) int { return rand.IntN(n) }

// recordDecision sets the id and time of a decision, records it and returns the id.
func (r *Router) recordDecision(d *port.DecisionRecord) string {
	d.ID = r.o.ID + ".d." + uuid.NewString()
	d.Time = r.Clock()
	r.Sink.Record(d)
	return d.ID
}
