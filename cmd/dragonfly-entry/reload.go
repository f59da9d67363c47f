package main

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/phuslu/log"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/settings"
)

// settingsPollInterval is the time between two checks of the settings file for
// changes, which need no signal.
const settingsPollInterval = 5 * time.Second

// watchSettings applies changes of the settings file until the context ends.
func (a *assembly) watchSettings(ctx context.Context, path string, sighup <-chan os.Signal) {
	settings.Follow(ctx, path, settingsPollInterval, sighup, a.reload)
}

// reload applies the settings that can change while the daemon serves. If the
// file is invalid, all settings stay as they are.
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
