package main

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/phuslu/log"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/settings"
)

// settingsEvery is how often the settings file is looked at without a signal.
const settingsEvery = 5 * time.Second

// followSettings takes over what changes in the settings file until the
// context ends.
func (a *assembly) followSettings(ctx context.Context, path string, hangup <-chan os.Signal) {
	settings.Follow(ctx, path, settingsEvery, hangup, a.reload)
}

// reload takes over the fields that can change while the daemon serves. A file
// that is wrong changes nothing: the daemon goes on with what it has.
func (a *assembly) reload(raw []byte, err error) {
	next := defaults()
	if err == nil {
		err = settings.Decode(raw, &next)
	}
	if err != nil {
		a.logger.Error().Str("event", "reload_refused").Err(err).Msg("")
		return
	}
	s := a.settings
	s.Keepers, s.Store, s.LogLevel = next.Keepers, next.Store, next.LogLevel
	s.RetryRatio, s.RetrySlack, s.Grace, s.ReclaimNotice = next.RetryRatio, next.RetrySlack, next.Grace, next.ReclaimNotice
	s.EntryValidity = next.EntryValidity
	a.keeper.SetSeeds(s.Keepers)
	a.store.SetAddress(s.Store)
	a.logger.SetLevel(log.ParseLevel(s.LogLevel))
	a.gateway.SetOptions(s.options())
	a.logger.Info().Str("event", "reloaded").Bool("needs_restart", !reflect.DeepEqual(*s, next)).Msg("")
}
