package main

import (
	"strings"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/settings"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/settingspage"
)

func TestSettingsPageIsComplete(t *testing.T) {
	missing, err := settingspage.Missing("../../docs/operations/settings.md", settingspage.Rows(defaults()))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range missing {
		t.Errorf("docs/operations/settings.md lacks: %s", line)
	}
}

// Guards against accepting patience limits that break streams, and against errors
// that don't name the field. With failures of 0, every lost call would end a
// report. If a run that has begun had a lower limit than a queued one, it would
// be the first to be given up.
func TestPatienceValidation(t *testing.T) {
	const requiredFields = `"id":"r","host":"127.0.0.1","failure_domain":"d","admin_token_sha256":"` +
		`0000000000000000000000000000000000000000000000000000000000000000","keepers":["127.0.0.1:1"],` +
		`"resume_keys":["00000000000000000000000000000000"],` +
		`"listen":{"callers":"127.0.0.1:1","admin":"127.0.0.1:2","peers":"127.0.0.1:3"},`
	for patience, wantErr := range map[string]string{
		`{}`:                     "",
		`{"failures":9}`:         "",
		`{"failures":0}`:         "patience.failures",
		`{"started_failures":1}`: "patience.started_failures",
		`{"started_rounds":29}`:  "patience.started_rounds",
		`{"running_rounds":301}`: "patience.started_rounds",
		`{"max_backoff":"1ms"}`:  "patience.max_backoff",
		`{"backoff":"0s"}`:       "patience.backoff",
		`{"cancel_tries":0}`:     "patience.cancel_tries",
		`{"rounds":3}`:           "rounds",
	} {
		s := defaults()
		err := settings.Decode([]byte("{"+requiredFields+`"patience":`+patience+"}"), &s)
		if (err == nil) != (wantErr == "") || err != nil && !strings.Contains(err.Error(), wantErr) {
			t.Errorf("%s: got %v, want an error on %q", patience, err, wantErr)
		}
	}
}

// Checks that the patience settings become the limits of streams.
func TestPatienceSetsStreamLimits(t *testing.T) {
	s := defaults()
	s.Patience.StartedRounds = 7000
	o, err := s.options()
	if err != nil {
		t.Fatal(err)
	}
	want := stream.DefaultLimits()
	want.StartedRounds = 7000
	if o.Stream != want {
		t.Fatalf("got %+v", o.Stream)
	}
}
