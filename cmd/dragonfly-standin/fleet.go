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

// Execute runs the stand-in until the process is stopped.
func (c *fleetStoreCommand) Execute([]string) error {
	s := standin.NewStore()
	return c.serveWith("fleet-store", standin.NewStoreHandler(s), hooks{
		background: func(ctx context.Context, _ *log.Logger) { s.ExpireObjects(ctx, standin.KindRunners, c.Lapse) },
	})
}

type fleetRunnerCommand struct {
	common
	Service       string        `long:"service" default:"plain" description:"name of the service, plain or engines"`
	Store         string        `long:"store" required:"true" description:"address of the store"`
	Advertise     string        `long:"advertise" description:"address to register; the default is the address listened on"`
	EventEvery    time.Duration `long:"event-every" default:"0s" description:"time between two events of a stream; 0 makes this a plain service"`
	Work          time.Duration `long:"work" default:"0s" description:"time that a plain service takes for a request"`
	Beat          time.Duration `long:"beat" default:"1s" description:"time between two writes of the entry"`
	Notice        time.Duration `long:"notice" default:"1500ms" description:"time to continue serving after the leave notice"`
	ColdFor       time.Duration `long:"cold-for" default:"0s" description:"how long the runner is cold after its start; too many requests in that time end it"`
	ColdRate      float64       `long:"cold-per-second" default:"0" description:"requests per second that the runner tolerates while it is cold"`
	Unframed      bool          `long:"unframed" description:"end answers with their connection, with neither a length nor chunks"`
	Slowness      float64       `long:"slowness" default:"0" description:"time that work takes, as a multiple of the usual one, apart from slow periods; answers state it. 0 states nothing"`
	WithoutNotice bool          `long:"unsaid" description:"leave by removing the entry, without a leave notice"`
}

// Execute runs the stand-in until the process is stopped. It then announces that
// the runner leaves, unless c.WithoutNotice is set.
func (c *fleetRunnerCommand) Execute([]string) error {
	born := time.Now().UnixMilli()
	r := &standin.Runner{
		ID: c.ID, Born: born, EventEvery: c.EventEvery, Work: c.Work, CacheTokens: standin.CacheTokens,
		OnCrash: func() { os.Exit(exitCrashed) }, Cold: standin.NewCold(c.ColdFor, c.ColdRate), Unframed: c.Unframed,
		Pace: standin.NewPace(c.Slowness, c.ID, time.Now()),
	}
	var registration *standin.Registration
	return c.serveWith("fleet-runner", standin.NewRunnerHandler(r), hooks{
		prepare: r.SetLogger, connContext: standin.ConnContext,
		background: func(ctx context.Context, l *log.Logger) {
			address := c.Advertise
			if address == "" {
				address = c.Listen
			}
			registration = &standin.Registration{
				Store: standin.StoreClient{Address: c.Store}, ID: c.ID, Every: c.Beat, Cold: r.Cold, Logger: l,
				Entry: standin.Entry(c.Service, address, c.FailureDomain, born, nil),
			}
			registration.Run(ctx)
		},
		leave: func(l *log.Logger) { c.leave(r, registration, l) },
	})
}

// exitCrashed is the exit code of a runner or an engine that a request has crashed.
const exitCrashed = 3

// leave announces to the store that the runner leaves, or with c.WithoutNotice
// only removes its entry, and then serves on for c.Notice.
func (c *fleetRunnerCommand) leave(r *standin.Runner, registration *standin.Registration, l *log.Logger) {
	r.SetDraining(true)
	notifyStore := registration.AnnounceDraining
	if c.WithoutNotice {
		notifyStore = registration.Remove
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Notice)
	defer cancel()
	err := notifyStore(ctx)
	l.Info().Str("event", "leaving").Err(err).Int64("unix_ms", time.Now().UnixMilli()).Msg("")
	time.Sleep(c.Notice)
	// Removes the entry if it still exists. An error is ignored, as the store
	// removes an entry that is no longer renewed.
	_ = registration.Remove(context.Background())
}
