package port

import "time"

// DecisionRecord is a decision in the form in which it is logged and explained.
// Each is written as one JSON log line with the same field names.
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
	// Fingerprint identifies a request that is sent again, see package quarantine.
	// It is set if an attempt ended without a complete response.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Parts lists the first parts of the request's prompt, as the caller names them, so
	// that what several lost requests have in common can be seen. It is set together
	// with Fingerprint.
	Parts []string `json:"parts,omitempty"`
	// Crashes is the number of endpoints that crashed while the request ran.
	Crashes    int              `json:"crashes,omitempty"`
	Candidates []CandidateScore `json:"candidates,omitempty"`
	// ConfigurationVersion is the version of the configuration that the decision
	// is based on.
	ConfigurationVersion uint64 `json:"configuration_version,omitempty"`
	// Revision is the revision of the platform's registry that the decision is
	// based on.
	Revision StoreRevision `json:"revision,omitempty"`
	// PlatformAgeMillis is the time since the platform last answered any daemon, -1
	// for never; nil if it had no influence on the decision.
	PlatformAgeMillis *int64 `json:"platform_age_ms,omitempty"`
	// Coordinator is the id of the daemon whose scheduler placed the generation.
	Coordinator string `json:"coordinator,omitempty"`
	Fence       uint64 `json:"fence,omitempty"`
	// Status is the status of the answer that the caller got, unless it is 200 or a
	// refusal, whose status follows from Outcome.
	Status int `json:"status,omitempty"`
	// Reply is the response of the last endpoint, unless that was a plain success or there
	// was none.
	Reply *Reply `json:"reply,omitempty"`
	// Delivered is set at the end of a stream.
	Delivered *Delivery `json:"delivered,omitempty"`
	Actor     string    `json:"actor,omitempty"`
}

// AgeMillis converts an age to the form used in decisions: a negative age, which
// means never, becomes -1.
func AgeMillis(age time.Duration) *int64 {
	ms := int64(-1)
	if age >= 0 {
		ms = age.Milliseconds()
	}
	return &ms
}

// Delivery describes the part of a stream that a caller received.
type Delivery struct {
	Events int `json:"events"`
	// HeldMillis is the time until the request was placed, FirstEventMillis the time to
	// the first event, both from the request's arrival.
	HeldMillis       int64 `json:"held_ms"`
	FirstEventMillis int64 `json:"first_event_ms"`
	// LongestGapMillis is the longest time between two events; LongestGapEvent is the event that
	// follows it.
	LongestGapMillis int64 `json:"longest_gap_ms"`
	LongestGapEvent  int   `json:"longest_gap_event"`
	// Runners is the number of runners that the stream came from.
	Runners int `json:"runners"`
}

// DecisionSink logs decisions and stores the recent ones for explanations.
type DecisionSink interface {
	Record(d *DecisionRecord)
}

// DecisionSource returns past decisions, newest last.
type DecisionSource interface {
	Explain(subject, subjectID string) []DecisionRecord
}
