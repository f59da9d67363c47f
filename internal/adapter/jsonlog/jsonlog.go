// Package jsonlog writes the daemons' logs as JSON lines.
package jsonlog

import (
	"io"

	"github.com/phuslu/log"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// New returns a logger that writes JSON lines to w, each with the daemon's
// name and ID. The level is debug, info, warn or error.
func New(w io.Writer, daemon, id, level string) *log.Logger {
	return newLogger(&log.IOWriter{Writer: w}, daemon, id, level)
}

func newLogger(w log.Writer, daemon, id, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeField:  "time",
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("daemon", daemon).Str("daemon_id", id).Value(),
		Writer:     w,
	}
}

// LogDecision logs a decision as one line, without its empty fields. A decision
// has no fields for prompts and keys, so they can't reach the log.
func LogDecision(l *log.Logger, d *port.DecisionRecord) {
	e := l.Info().Str("event", "decision").
		Str("decision_id", d.ID).Str("subject", d.Subject).Str("subject_id", d.SubjectID).
		Str("verdict", d.Verdict).Str("reason", d.Reason)
	for _, f := range []struct{ name, value string }{
		{"organisation", d.Organisation},
		{"model", d.Model},
		{"endpoint", d.Endpoint},
		{"outcome", d.Outcome},
		{"fingerprint", d.Fingerprint},
		{"coordinator", d.Coordinator},
		{"actor", d.Actor},
	} {
		if f.value != "" {
			e = e.Str(f.name, f.value)
		}
	}
	for _, f := range []struct {
		name  string
		value uint64
	}{
		{"attempt", uint64(d.Attempt)},
		{"crashes", uint64(d.Crashes)},
		{"configuration_version", d.ConfigurationVersion},
		{"store_era", d.Revision.Era()},
		{"revision", d.Revision.Revision()},
		{"fence", d.Fence},
		{"status", uint64(d.Status)},
	} {
		if f.value != 0 {
			e = e.Uint64(f.name, f.value)
		}
	}
	if d.PlatformAgeMillis != nil {
		e = e.Int64("platform_age_ms", *d.PlatformAgeMillis)
	}
	if len(d.Parts) > 0 {
		e = e.Strs("parts", d.Parts)
	}
	if len(d.Candidates) > 0 {
		e = e.Any("candidates", d.Candidates)
	}
	if d.Reply != nil {
		e = e.Any("reply", d.Reply)
	}
	if d.Delivered != nil {
		e = e.Any("delivered", d.Delivered)
	}
	e.Msg("")
}
