package placement

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/core/placement"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// ledgerName is the name of the object that holds all permits.
const ledgerName = "placement"

// maxLedgerAttempts bounds the attempts to write the ledger in competition with
// other keepers.
const maxLedgerAttempts = 4

// ledgerStore reads and writes the ledger by compare-and-set, one change at a time.
type ledgerStore struct {
	opts *Options
	mu   sync.Mutex
}

// servingCounter counts the runners that serve a model, without those whose steps
// have a permit to disrupt it. It may stop at needed.
type servingCounter func(l *placement.Ledger, model string, needed int) int

// takePermit takes a permit, or returns the reason for the refusal. The runners are
// counted after the ledger was read, and the ledger is written only if it is
// unchanged, so two keepers cannot both rely on each other's runner.
func (s *ledgerStore) takePermit(ctx context.Context, step *placement.Step, fence uint64, b placement.Budget, serving servingCounter) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	required := map[string]int{}
	for _, d := range step.Disrupts {
		required[d.Model] = d.MinReady
	}
	refusal := ""
	err := s.update(ctx, func(l *placement.Ledger) bool {
		count := func(model string) int { return serving(l, model, required[model]) }
		refusal = l.Acquire(step, fence, b, count)
		return refusal == ""
	})
	if err != nil {
		return "the platform holds the budget and did not answer"
	}
	return refusal
}

// releasePermits removes the permits that are finished. After a failure the next
// pass tries again.
func (s *ledgerStore) releasePermits(ctx context.Context, finished func(placement.Permit) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.update(ctx, func(l *placement.Ledger) bool {
		before := len(l.Permits)
		l.Permits = slices.DeleteFunc(l.Permits, finished)
		return len(l.Permits) < before
	})
	if err != nil {
		s.opts.Logger.Warn().Str("event", "ledger_failed").Err(err).Msg("")
	}
}

// update reads the ledger, applies f, and writes the ledger if f returns true.
func (s *ledgerStore) update(ctx context.Context, f func(*placement.Ledger) bool) error {
	var err error
	for range maxLedgerAttempts {
		var l *placement.Ledger
		var version uint64
		l, version, err = s.read(ctx)
		if err != nil {
			return err
		}
		if !f(l) {
			return nil
		}
		err = s.write(ctx, l, version)
		// After a lost reply the ledger is read again: f finds its own change there, or
		// makes it again.
		if !errors.Is(err, port.ErrConflict) && !errors.Is(err, port.ErrOutcomeUnknown) {
			return err
		}
	}
	return err
}

func (s *ledgerStore) read(ctx context.Context) (*placement.Ledger, uint64, error) {
	call, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	object, err := s.opts.Platform.Get(call, port.ObjectBudget, ledgerName)
	if errors.Is(err, port.ErrNotFound) {
		return &placement.Ledger{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	l, err := placement.DecodeLedger(object.Value)
	return l, object.Version, err
}

func (s *ledgerStore) write(ctx context.Context, l *placement.Ledger, version uint64) error {
	value, err := l.Encode()
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	_, err = s.opts.Platform.Put(call, port.ObjectBudget, ledgerName, version, value)
	return err
}
