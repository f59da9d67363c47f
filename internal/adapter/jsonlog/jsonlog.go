// Package jsonlog writes the daemons' logs as JSON lines.
package jsonlog

import (
	"io"

	"github.com/phuslu/log"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// New returns a logger that writes JSON lines to w, each with the daemon's
// name and id. Level is one of debug, info, warn and error.
func New(w io.Writer, daemon, id, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeField:  "time",
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("daemon", daemon).Str("daemon_id", id).Value(),
		Writer:     &log.IOWriter{Writer: w},
	}
}

// LogDecision writes the one line that each decision gets. Prompts and keys
// are not among a decision's fields, so none can reach the log.
func LogDecision(l *log.Logger, d *port.DecisionRecord) {
	l.Info().
		Str("event", "decision").
		Str("decision_id", d.ID).
		Str("subject", d.Subject).
		Str("subject_id", d.SubjectID).
		Str("organisation", d.Organisation).
		Str("model", d.Model).
		Str("verdict", d.Verdict).
		Str("reason", d.Reason).
		Str("endpoint", d.Endpoint).
		Int("attempt", d.Attempt).
		Str("outcome", d.Outcome).
		Uint64("configuration_version", d.ConfigurationVersion).
		Uint64("fence", d.Fence).
		Str("actor", d.Actor).
		Any("candidates", d.Candidates).
		Any("delivered", d.Delivered).
		Msg("")
}
