package keeper

import (
	"cmp"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// errEraUnconfirmed: an answer names a new era that no other answer has named
// yet. It says nothing about the platform's health.
var errEraUnconfirmed = merry.Sentinel("platform: the era is not confirmed yet")

// checkEra checks the era of a list at a revision. A list of an earlier era
// than the known one is accepted: its revisions are older than the known ones,
// so it only changes what no other source has reported.
func (k *Keeper) checkEra(kind string, at port.StoreRevision) error {
	before := k.eras.Current()
	verdict, isNew := k.eras.Observe(at.Era())
	switch verdict {
	case membership.EraConfirmed:
		k.logEraBegan(before, at, "")
	case membership.EraAnnounced:
		k.logEraAnomaly("store_era_announced", kind, before, at)
		return errEraUnconfirmed
	case membership.EraRegressed:
		if isNew {
			k.logEraAnomaly("store_era_fell", kind, before, at)
		}
	}
	return nil
}

// checkWatchEra returns nil for an answer of the era in which the watch began.
// An answer of any other era doesn't tell what changed in between, whatever the
// revisions are, so everything must be listed again.
func (k *Keeper) checkWatchEra(kind string, since, at port.StoreRevision) error {
	if at.Era() == since.Era() {
		return nil
	}
	if err := k.checkEra(kind, at); err != nil {
		return err
	}
	return port.ErrRevisionGone
}

// EraReceived processes a revision that a peer relayed. It may be of an era in
// which the platform hasn't answered this keeper yet.
func (k *Keeper) EraReceived(at port.StoreRevision, from string) {
	before := k.eras.Current()
	if k.eras.Adopt(at.Era()) {
		k.logEraBegan(before, at, from)
	}
}

// logEraBegan logs the beginning of an era. All revisions of earlier eras are
// older than any revision of the new one.
func (k *Keeper) logEraBegan(before uint64, at port.StoreRevision, from string) {
	k.options.Logger.Warn().Str("event", "store_era_began").Uint64("store_era", at.Era()).Uint64("revision", at.Revision()).
		Uint64("era_before", before).Uint64("revision_before", port.StoreRevision(k.lastRevision.Load()).Revision()).
		Str("from", cmp.Or(from, "platform")).Msg("")
}

func (k *Keeper) logEraAnomaly(event, kind string, before uint64, at port.StoreRevision) {
	k.options.Logger.Warn().Str("event", event).Str("kind", kind).Uint64("store_era", at.Era()).
		Uint64("revision", at.Revision()).Uint64("era_in_force", before).Msg("")
}
