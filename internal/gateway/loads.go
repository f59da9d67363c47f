package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Times of spreading loads.
const (
	// loadRepeat is how often an unchanged load is said again, so that others
	// know that it still holds.
	loadRepeat = time.Second
	// loadFastest is the least time between two messages: a tenth of what a
	// prompt takes to be read and to show in the runner's pace.
	loadFastest = 100 * time.Millisecond
	// loadPerDaemon stretches it with the number of daemons, each of which
	// hears all others: at about 100 bytes a message and three copies of each
	// over the links, some 15 KB a second whatever the number.
	loadPerDaemon = 20 * time.Millisecond
	// loadSlowest is the time between messages past which they help nobody:
	// runs come and go faster. Then daemons keep to their own runners.
	loadSlowest = 2 * time.Second
)

// loadEvery is the time between two messages, zero for none.
func loadEvery(daemons int) time.Duration {
	every := max(loadFastest, time.Duration(daemons)*loadPerDaemon)
	if every > loadSlowest {
		return 0
	}
	return every
}

// spreadLoads tells the others what this daemon has running, as it changes.
func (g *Gateway) spreadLoads(ctx context.Context) {
	var said []port.RunnerLoad
	var at time.Time
	for {
		every := loadEvery(g.daemons())
		sleep(ctx, max(every, loadFastest))
		if ctx.Err() != nil {
			return
		}
		now := g.Clock()
		own := g.Scheduler.OwnLoads()
		if every == 0 || now.Sub(at) < loadRepeat && slices.Equal(own, said) {
			continue
		}
		g.Loads.SpreadLoad(own)
		said, at = own, now
	}
}
