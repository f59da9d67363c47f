package keeper

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// quarantineTick is the time between two looks at what is too old to be kept.
const quarantineTick = time.Second

// Quarantine knows the requests that crash the endpoints that run them.
func (k *Keeper) Quarantine() *quarantine.Register { return k.quarantine }

// quarantineForever takes in what others tell of such requests, and forgets what
// is old.
func (k *Keeper) quarantineForever(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		for {
			if err := pause(ctx, quarantineTick); err != nil {
				return err
			}
			k.quarantine.Tick(time.Now())
		}
	})
	for ctx.Err() == nil {
		changed := k.node.Changed()
		k.quarantine.Refresh(time.Now())
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return group.Wait()
}

// noteQuarantine writes the line of a change of what is held of a request.
func (k *Keeper) noteQuarantine(c quarantine.Change) {
	k.decideOn(&port.DecisionRecord{
		Subject: "fingerprint", SubjectID: c.Fingerprint.String(), Verdict: string(c.Verdict),
		Reason: c.Reason, Crashes: c.Crashes,
	})
}
