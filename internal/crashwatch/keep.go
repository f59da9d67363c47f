package crashwatch

import (
	"context"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
)

// keepTick is the time between two looks at what is too old to be remembered.
const keepTick = time.Second

// Changing tells of changes of the state that daemons share.
type Changing interface {
	// Changed is closed at the next change.
	Changed() <-chan struct{}
}

// Keep keeps a register current until the context ends.
func Keep(ctx context.Context, state Changing, r *quarantine.Register) {
	tick := time.NewTicker(keepTick)
	defer tick.Stop()
	for ctx.Err() == nil {
		changed := state.Changed()
		r.Refresh(time.Now())
		select {
		case <-ctx.Done():
		case <-changed:
		case <-tick.C:
			r.Tick(time.Now())
		}
	}
}
