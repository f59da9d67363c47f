package port

import "time"

// DecisionRecord is one decision as logged and explained. One JSON log line
// is written for each, with the same field names.
type DecisionRecord struct {
	ID   string    `json:"decision_id"`
	Time time.Time `json:"time"`
	// Subject is "request", "endpoint" or "configuration".
	Subject string `json:"subject"`
	// SubjectID is the request id, endpoint id or kind/name.
	SubjectID    string `json:"subject_id"`
	Organisation string `json:"organisation,omitempty"`
	Model        string `json:"model,omitempty"`
	// Verdict is for instance "place", "hold", "refuse", "order", "accepted".
	Verdict  string `json:"verdict"`
	Reason   string `json:"reason"`
	Endpoint string `json:"endpoint,omitempty"`
	Attempt  int    `json:"attempt,omitempty"`
	Outcome  string `json:"outcome,omitempty"`
	// Fingerprint tells a request that is sent again, see package quarantine. It
	// is set where an attempt ended without a whole answer.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Crashes counts the endpoints that crashed while the request ran.
	Crashes    int              `json:"crashes,omitempty"`
	Candidates []CandidateScore `json:"candidates,omitempty"`
	// ConfigurationVersion is the version the decision rested on.
	ConfigurationVersion uint64 `json:"configuration_version,omitempty"`
	// Revision is that of the platform's registry which it rested on.
	Revision StoreRevision `json:"revision,omitempty"`
	// PlatformAgeMillis is how long ago the platform had last answered any
	// daemon, -1 for never; nil where that played no part.
	PlatformAgeMillis *int64 `json:"platform_age_ms,omitempty"`
	// Coordinator names the daemon by whose scheduler a generation was placed.
	Coordinator string `json:"coordinator,omitempty"`
	Fence       uint64 `json:"fence,omitempty"`
	// Delivered is set at the end of a stream.
	Delivered *Delivery `json:"delivered,omitempty"`
	Actor     string    `json:"actor,omitempty"`
}

// AgeMillis is an age as decisions hold it: -1 for a negative one, which stands
// for never.
func AgeMillis(age time.Duration) *int64 {
	ms := int64(-1)
	if age >= 0 {
		ms = age.Milliseconds()
	}
	return &ms
}

// Delivery is what a caller had of a stream.
type Delivery struct {
	Events int `json:"events"`
	// HeldMillis is the wait for a place, FirstMillis the time to the first
	// event, both from the request's arrival.
	HeldMillis  int64 `json:"held_ms"`
	FirstMillis int64 `json:"first_event_ms"`
	// GapMillis is the longest pause between two events, before GapEvent.
	GapMillis int64 `json:"longest_gap_ms"`
	GapEvent  int   `json:"longest_gap_event"`
	// Runners is the number of runners that the stream came from.
	Runners int `json:"runners"`
}

// DecisionSink logs decisions and keeps the recent ones for explanations.
type DecisionSink interface {
	Record(d *DecisionRecord)
}

// DecisionSource answers for past decisions, newest last.
type DecisionSource interface {
	Explain(subject, subjectID string) []DecisionRecord
}
