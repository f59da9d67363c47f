package router

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/fakes"
)

// retentionClaimer is a claimer whose retention becomes known with its first
// answer, as with real keepers.
type retentionClaimer struct {
	*fakes.Claims
	retention time.Duration
	learned   time.Duration
}

func (l *retentionClaimer) Claim(ctx context.Context, e port.ClaimEntry) (port.ClaimVerdict, port.ClaimState, error) {
	l.learned = l.retention
	return l.Claims.Claim(ctx, e)
}

// Guards against running a ledger entry twice: the caller retries it two days later
// with its first key, when the claim and its tombstone are deleted and the keepers
// can't tell the key from a new one. Only the timestamp in the key shows its age,
// also at a router that receives the retention with the answer to this claim.
func TestExpiredTimestampedKeyIsRefused(t *testing.T) {
	key := uuid.Must(uuid.NewV7())
	keyTime := time.Unix(key.Time().UnixTime())
	cases := []struct {
		name, key string
		known     time.Duration
		age       time.Duration
		calls     int
	}{
		{"fresh", key.String(), time.Hour, time.Minute, 1},
		{"old, retention known", key.String(), time.Hour, 48 * time.Hour, 0},
		{"old, retention received with the claim", key.String(), 0, 48 * time.Hour, 0},
		{"old, without a timestamp", "entry-17", time.Hour, 48 * time.Hour, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(testOptions("router-1"), serviceEndpoint("s1"))
			l := &retentionClaimer{Claims: b.claimer, retention: time.Hour, learned: c.known}
			b.Claimer = l
			b.KeyRetention = func() time.Duration { return l.learned }
			b.Clock = func() time.Time { return keyTime.Add(c.age) }
			b.services.reply["s1"] = okReply("entered")
			_, refusal := b.CallService(t.Context(), &ServiceRequest{
				RequestID: b.NewRequestID(), Organisation: "kegsetu", Service: "depot", Method: "POST", Path: "/entries",
				IdempotencyKey: c.key, NonIdempotent: true,
			})
			if b.services.count() != c.calls {
				t.Fatalf("%d calls, want %d (%v)", b.services.count(), c.calls, refusal)
			}
			if c.calls == 1 {
				return
			}
			if refusal == nil || refusal.Cause != CauseKeyExpired || refusal.Outcome != outcome.NotRun {
				t.Fatalf("got refusal %+v, want cause key_expired and outcome not_run", refusal)
			}
			if len(b.claimer.Held) != 0 {
				t.Fatal("the key is still claimed although nothing was dispatched")
			}
		})
	}
}
