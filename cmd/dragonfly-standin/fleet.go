package main

import (
	"context"
	"os"
	"time"

	"github.com/phuslu/log"

	"github.com/dragonflyrail/dragonflyrail/platform/standin"
)

type fleetStoreCommand struct {
	common
	Lapse time.Duration `long:"lapse" default:"3s" description:"age at which a runner's entry is removed"`
}

// Execute runs the stand-in until it is stopped.
func (c *fleetStoreCommand) Execute([]string) error {
	s := standin.NewStore()
	return c.serveWith("fleet-store", standin.Switched(s), hooks{
		background: func(ctx context.Context, _ *log.Logger) { s.Lapse(ctx, standin.KindRunners, c.Lapse) },
	})
}

type fleetRunnerCommand struct {
	common
	Service    string        `long:"service" default:"plain" description:"name of the service, plain or engines"`
	Store      string        `long:"store" required:"true" description:"address of the store"`
	Advertise  string        `long:"advertise" description:"address to register; without one, the address it listens on"`
	EventEvery time.Duration `long:"event-every" default:"0s" description:"time of one event of a stream; 0 makes a plain service"`
	Work       time.Duration `long:"work" default:"0s" description:"how long a plain service takes"`
	Beat       time.Duration `long:"beat" default:"1s" description:"time between two writes of the entry"`
	Notice     time.Duration `long:"notice" default:"1500ms" description:"how long it serves on once the store knows that it leaves"`
	ColdFor    time.Duration `long:"cold-for" default:"0s" description:"how long it is cold after its start; more than it bears then ends it"`
	ColdRate   float64       `long:"cold-per-second" default:"0" description:"requests a second that it bears while it is cold"`
	Unsaid     bool          `long:"unsaid" description:"leave by removing the entry, without saying so"`
}

// Execute runs the stand-in until it is stopped, which it announces.
func (c *fleetRunnerCommand) Execute([]string) error {
	r := &standin.Runner{
		ID: c.ID, EventEvery: c.EventEvery, Work: c.Work, CacheTokens: standin.CacheTokens,
		OnCrash: func() { os.Exit(exitCrashed) }, Cold: standin.NewCold(c.ColdFor, c.ColdRate),
	}
	var kept *standin.Registration
	return c.serveWith("fleet-runner", standin.SwitchedRunner(r), hooks{
		background: func(ctx context.Context, l *log.Logger) {
			r.SetLogger(l)
			address := c.Advertise
			if address == "" {
				address = c.Listen
			}
			kept = &standin.Registration{
				Store: standin.StoreClient{Address: c.Store}, ID: c.ID, Every: c.Beat, Cold: r.Cold, Logger: l,
				Entry: standin.Entry(c.Service, address, c.FailureDomain, time.Now().UnixMilli(), nil),
			}
			kept.Keep(ctx)
		},
		leave: func(l *log.Logger) { c.leave(r, kept, l) },
	})
}

// exitCrashed is the exit code of a runner that a request has crashed.
const exitCrashed = 3

// leave tells the store, and serves on for the notice.
func (c *fleetRunnerCommand) leave(r *standin.Runner, kept *standin.Registration, l *log.Logger) {
	r.SetLeaving(true)
	tell := kept.Leave
	if c.Unsaid {
		tell = kept.Remove
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Notice)
	defer cancel()
	err := tell(ctx)
	l.Info().Str("event", "leaving").Err(err).Int64("unix_ms", time.Now().UnixMilli()).Msg("")
	time.Sleep(c.Notice)
	// The entry is gone, or lapses.
	_ = kept.Remove(context.Background())
}
