package crashwatch

import (
	"context"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
)

// tickInterval is the time between two calls of Register.Tick, which drops
// expired state.
const tickInterval = time.Second

// ChangeNotifier notifies of changes of the state that daemons share.
type ChangeNotifier interface {
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// RunRegister refreshes a register at each change of state and calls its Tick
// regularly, until the context ends.
func RunRegister(ctx context.Context, state ChangeNotifier, r *quarantine.Register) {
	tick := time.NewTicker(tickInterval)
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
