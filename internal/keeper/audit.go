package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Audit is the audit trail of one record: its accepted changes.
type Audit struct {
	Version uint64              `json:"version"`
	Deleted bool                `json:"deleted"`
	Changes []record.AuditEntry `json:"accepted"`
}

// Audit reads the audit trail from the platform, the only place where it is
// stored. Refused changes are in the decision log of the keeper that refused
// them.
func (k *Keeper) Audit(ctx context.Context, kind, name string) (Audit, error) {
	object, err := k.options.Platform.Get(ctx, kind, name)
	switch {
	case errors.Is(err, port.ErrNotFound):
		return Audit{}, ErrNotFound
	case err != nil:
		return Audit{}, merry.Prepend(ErrOutcomeUnknown, err.Error())
	}
	k.recordPlatformCall(time.Now(), true)
	envelope, err := record.DecodeEnvelope(object.Value)
	if err != nil {
		return Audit{}, err
	}
	return Audit{Version: object.Version, Deleted: envelope.Deleted, Changes: envelope.Audit}, nil
}
