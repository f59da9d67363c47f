package main

import (
	"context"
	"os"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/daemon"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/enginemodel"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/platform"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/service"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/weights"
)

type platformCommand struct {
	common
	WritesPerSecond float64       `long:"writes-per-second" default:"400" description:"rate limit of writes"`
	ReadsPerSecond  float64       `long:"reads-per-second" default:"2000" description:"rate limit of reads; a watch counts as one read"`
	HostLag         time.Duration `long:"host-lag" default:"2s" description:"delay before a change of the host list is visible"`
	History         uint64        `long:"history" default:"100000" description:"number of past revisions at which a watch may start"`
}

// Execute runs the stand-in until the process is stopped.
func (c *platformCommand) Execute([]string) error {
	return c.serve("platform", platform.New(platform.Options{
		WritesPerSecond: c.WritesPerSecond, ReadsPerSecond: c.ReadsPerSecond,
		HostLag: c.HostLag, History: c.History,
	}))
}

type serviceCommand struct {
	common
	Incarnation uint64        `long:"incarnation" default:"1" description:"number that must increase with each start"`
	Concurrency int           `long:"concurrency" default:"64" description:"number of calls that run at the same time"`
	ReportLag   time.Duration `long:"report-lag" default:"500ms" description:"age of the load report"`
}

// Execute runs the stand-in until the process is stopped.
func (c *serviceCommand) Execute([]string) error {
	return c.serve("service", service.New(service.Options{
		ID: c.ID, Incarnation: c.Incarnation,
		Concurrency: c.Concurrency, ReportLag: c.ReportLag,
	}))
}

type weightsCommand struct {
	common
	BytesPerSecond int `long:"bytes-per-second" default:"67108864" description:"read rate shared by all readers"`
	ModelBytes     int `long:"model-bytes" default:"16777216" description:"size of every model version"`
}

// Execute runs the stand-in until the process is stopped.
func (c *weightsCommand) Execute([]string) error {
	return c.serve("weights", weights.New(weights.Options{
		BytesPerSecond: c.BytesPerSecond, ModelBytes: c.ModelBytes,
	}))
}

type engineCommand struct {
	common
	Incarnation     uint64            `long:"incarnation" default:"1" description:"number that must increase with each start"`
	Models          map[string]string `long:"model" description:"model that is ready at the start, as name:version; can be repeated"`
	FencesOrders    bool              `long:"fences-orders" description:"refuse orders with an old fencing number"`
	Weights         string            `long:"weights" description:"URL of the weight store; if empty, models load immediately"`
	Blocks          int               `long:"blocks" default:"2000" description:"cache size in blocks"`
	BlockTokens     int               `long:"block-tokens" default:"16" description:"tokens in a block"`
	MaxBatch        int               `long:"max-batch" default:"48" description:"generations that run at the same time"`
	MaxWaiting      int               `long:"max-waiting" default:"64" description:"generations that may wait; 0 sets no limit"`
	StepBase        time.Duration     `long:"step-base" default:"12ms" description:"base time of a decoding step"`
	StepPerJob      time.Duration     `long:"step-per-job" default:"300us" description:"time added to a step for each generation in the batch"`
	PrefillPerToken time.Duration     `long:"prefill-per-token" default:"100us" description:"time added to a step for each prompt token computed in it"`
	ReportLag       time.Duration     `long:"report-lag" default:"500ms" description:"age of the load report"`
	CacheEventLag   time.Duration     `long:"cache-event-lag" default:"1s" description:"age of cache events"`
	CacheEventGap   uint64            `long:"cache-event-gap" default:"7" description:"drop every cache event whose number is a multiple of this; 0 drops none"`
	Retention       time.Duration     `long:"retention" default:"1m" description:"how long a finished generation can still be read"`
	Seed            uint64            `long:"seed" default:"1" description:"seed of output lengths"`
}

// Execute runs the stand-in until the process is stopped.
func (c *engineCommand) Execute([]string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := engine.New(c.options())
	go e.Run(ctx)
	return c.serve("engine", e)
}

func (c *engineCommand) options() engine.Options {
	config := enginemodel.DefaultConfig()
	config.BlocksTotal = c.Blocks
	config.BlockTokens = c.BlockTokens
	config.MaxBatch = c.MaxBatch
	config.MaxWaiting = c.MaxWaiting
	config.StepBase = c.StepBase
	config.StepPerJob = c.StepPerJob
	config.PrefillPerToken = c.PrefillPerToken
	o := engine.Options{
		ID: c.ID, Incarnation: c.Incarnation, Model: config, FencesOrders: c.FencesOrders,
		ReportLag: c.ReportLag, CacheEventLag: c.CacheEventLag, CacheEventGap: c.CacheEventGap,
		Retention: c.Retention, WeightsURL: c.Weights, Seed: c.Seed,
		// A reclaimed engine exits without ending its streams.
		OnReclaim: func() { os.Exit(daemon.ExitOK) },
		OnCrash:   func() { os.Exit(exitCrashed) },
	}
	for model, version := range c.Models {
		o.Models = append(o.Models, port.ModelVersion{Model: model, Version: version})
	}
	return o
}
