package port

import (
	"strconv"

	"github.com/ansel1/merry/v2"
)

// StoreRevision is a position in the order of a platform store's changes: the
// store's era and the revision within it. A store that was restored from a copy has
// a larger era and assigns revisions again, so a revision alone does not determine
// which change came first.
//
// Both parts are in one number, with the era in the upper bits, so that a larger
// number is later. Daemons of builds without eras therefore order the revisions in
// the same way, and the versions of records remain numbers for operators. A store
// without eras is in era 0, where the number equals the revision.
type StoreRevision uint64

// revisionBits is enough for ten years of changes at 3,000 per second, and leaves
// room for eight million eras.
const revisionBits = 40

// Upper bounds of the two parts.
const (
	maxRevision = 1<<revisionBits - 1
	maxEra      = 1<<(63-revisionBits) - 1
)

// ErrRevisionRange means that an era or a revision is larger than any store's can
// be.
var ErrRevisionRange = merry.Sentinel("platform: era or revision is out of range")

// NewStoreRevision combines an era and a revision.
func NewStoreRevision(era, revision uint64) (StoreRevision, error) {
	if era > maxEra || revision > maxRevision {
		return 0, merry.Prependf(ErrRevisionRange, "era %d, revision %d", era, revision)
	}
	return StoreRevision(era<<revisionBits | revision), nil
}

// Era returns the era of the store.
func (r StoreRevision) Era() uint64 { return uint64(r) >> revisionBits }

// Revision returns the revision within the era.
func (r StoreRevision) Revision() uint64 { return uint64(r) & maxRevision }

// AbsentVersion returns the version that stands for an absent object in the era.
func (r StoreRevision) AbsentVersion() StoreRevision { return r &^ maxRevision }

// String returns both parts, for example 2/57.
func (r StoreRevision) String() string {
	return strconv.FormatUint(r.Era(), 10) + "/" + strconv.FormatUint(r.Revision(), 10)
}
