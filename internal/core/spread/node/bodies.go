package node

import (
	"bytes"
	"cmp"
	"slices"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// keptVersions of a record are those whose parts are kept: a neighbour that is
// a few versions behind can still put one of them together while operators
// write the next. Versions share most parts, so this costs little.
const keptVersions = 8

// bodies keeps the newest whole version of each record, and the parts of the
// newest versions, whole or not. It is safe for concurrent use.
type bodies struct {
	mu    sync.Mutex
	whole map[string]port.Record
	// versions are the newest revisions that came in parts, by record, the
	// oldest first.
	versions map[string][]spread.Revision
	// parts are those held.
	parts map[spread.PartID]*part
	// missing are the parts of versions that are newer than the whole one.
	missing map[spread.PartID]struct{}
	// taken counts the parts that came.
	taken uint64
}

// part is a piece of a body.
type part struct {
	// packed is how it is sent.
	packed []byte
	// content is a slice of the newest whole body where that has the part: a
	// version is put together without unpacking what it shares with the one
	// before. Nil where it has to be unpacked.
	content []byte
}

func newBodies() *bodies {
	return &bodies{
		whole:    map[string]port.Record{},
		versions: map[string][]spread.Revision{},
		parts:    map[spread.PartID]*part{},
		missing:  map[spread.PartID]struct{}{},
	}
}

// put takes a record with its whole body, and reports whether it is newer than
// the one held.
func (b *bodies) put(r port.Record, revision *spread.Revision, parts [][]byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.setWhole(r) {
		return false
	}
	for i, id := range revision.Parts {
		if b.parts[id] == nil {
			b.parts[id] = &part{packed: spread.Pack(parts[i])}
		}
	}
	b.know(revision)
	b.share(revision, parts, r.Body)
	b.tidy()
	return true
}

// expect takes a revision of which parts may be missing, and returns the
// versions that are whole now.
func (b *bodies) expect(revision *spread.Revision) []port.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(revision.Parts) > 0 {
		b.know(revision)
		return b.settle()
	}
	if !b.setWhole(revision.Record) {
		return nil
	}
	return []port.Record{revision.Record}
}

// take takes parts that came, and returns the versions that are whole now.
// Parts that no version lacks are dropped, so that a peer can't fill the memory.
func (b *bodies) take(parts [][]byte) []port.Record {
	if len(parts) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, packed := range parts {
		content, err := spread.Unpack(packed)
		if err != nil {
			// It names nothing that is missing; the part is asked for again.
			continue
		}
		id := spread.IDOf(content)
		if _, lacked := b.missing[id]; lacked {
			b.parts[id] = &part{packed: packed, content: content}
			b.taken++
		}
	}
	return b.settle()
}

// get returns a part as it is sent, nil where it isn't held.
func (b *bodies) get(id spread.PartID) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held := b.parts[id]; held != nil {
		return held.packed
	}
	return nil
}

// lacks returns the parts that are missing.
func (b *bodies) lacks() []spread.PartID {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]spread.PartID, 0, len(b.missing))
	for id := range b.missing {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// progress counts the parts that have come.
func (b *bodies) progress() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken
}

// records returns the newest whole version of each record.
func (b *bodies) records() []port.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]port.Record, 0, len(b.whole))
	for key := range b.whole {
		out = append(out, b.whole[key])
	}
	return out
}

func (b *bodies) record(key string) (port.Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, held := b.whole[key]
	return r, held
}

// allWhole reports whether each record that is known has a whole version.
func (b *bodies) allWhole() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := range b.versions {
		if _, held := b.whole[key]; !held {
			return false
		}
	}
	return true
}

// know wants b.mu.
func (b *bodies) know(revision *spread.Revision) {
	if len(revision.Parts) == 0 {
		return
	}
	key := spread.RecordKey(revision.Kind, revision.Name)
	known := b.versions[key]
	if slices.ContainsFunc(known, func(v spread.Revision) bool { return v.Version == revision.Version && v.Sum == revision.Sum }) {
		return
	}
	known = append(known, *revision)
	slices.SortStableFunc(known, func(a, b spread.Revision) int { return cmp.Compare(a.Version, b.Version) })
	if len(known) > keptVersions {
		oldest := b.oldestToDrop(key, known)
		known = slices.Delete(known, oldest, oldest+1)
	}
	b.versions[key] = known
}

// oldestToDrop is the oldest version but for the one in force, which a daemon
// that starts now may need. It wants b.mu.
func (b *bodies) oldestToDrop(key string, known []spread.Revision) int {
	if held, found := b.whole[key]; found && known[0].Version == held.Version {
		return 1
	}
	return 0
}

// wholeRevisions returns, for those of the revisions that aren't whole here, the
// newest that is.
func (b *bodies) wholeRevisions(revisions []spread.Revision) []spread.Revision {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []spread.Revision
	for i := range revisions {
		key := spread.RecordKey(revisions[i].Kind, revisions[i].Name)
		held, found := b.whole[key]
		if !found || held.Version >= revisions[i].Version {
			continue
		}
		out = append(out, b.revisionOf(key, held))
	}
	return out
}

// revisionOf wants b.mu.
func (b *bodies) revisionOf(key string, held port.Record) spread.Revision {
	for _, known := range b.versions[key] {
		if known.Version == held.Version {
			return known
		}
	}
	return spread.Revision{Record: held}
}

// settle puts together what can be, and wants b.mu.
func (b *bodies) settle() (completed []port.Record) {
	for key, known := range b.versions {
		if r, ok := b.newestWhole(key, known); ok {
			b.setWhole(r)
			completed = append(completed, r)
		}
	}
	b.tidy()
	return completed
}

// newestWhole puts together the newest version of which all parts are held and
// that is newer than the one held.
func (b *bodies) newestWhole(key string, known []spread.Revision) (port.Record, bool) {
	held, found := b.whole[key]
	for i := len(known) - 1; i >= 0; i-- {
		revision := &known[i]
		if found && revision.Version <= held.Version {
			break
		}
		contents, ok := b.contents(revision.Parts)
		if !ok {
			continue
		}
		body := bytes.Join(contents, nil)
		if r, right := revision.Whole(body); right {
			b.share(revision, contents, body)
			return r, true
		}
		// The sender hashes otherwise, or two contents share a hash. Fetched anew
		// they would be the same, over and over; the version before stays.
		b.versions[key] = slices.Delete(slices.Clone(known), i, i+1)
	}
	return port.Record{}, false
}

// contents returns the contents of parts, and whether all are held. It wants
// b.mu.
func (b *bodies) contents(parts []spread.PartID) ([][]byte, bool) {
	contents := make([][]byte, len(parts))
	for i, id := range parts {
		held := b.parts[id]
		if held == nil {
			return nil, false
		}
		contents[i] = held.content
	}
	for i, id := range parts {
		if contents[i] != nil {
			continue
		}
		content, err := spread.Unpack(b.parts[id].packed)
		if err != nil {
			// Only parts that could be unpacked were taken.
			return nil, false
		}
		contents[i] = content
	}
	return contents, true
}

// share has the parts of a body be slices of it, so that no older body is kept
// for them. It wants b.mu.
func (b *bodies) share(revision *spread.Revision, contents [][]byte, body []byte) {
	for _, known := range b.versions[spread.RecordKey(revision.Kind, revision.Name)] {
		for _, id := range known.Parts {
			if held := b.parts[id]; held != nil {
				held.content = nil
			}
		}
	}
	for i, id := range revision.Parts {
		size := len(contents[i])
		b.parts[id].content, body = body[:size:size], body[size:]
	}
}

// setWhole reports whether the record is newer than the one held; another
// changes nothing. It wants b.mu.
func (b *bodies) setWhole(r port.Record) bool {
	key := spread.RecordKey(r.Kind, r.Name)
	if held, found := b.whole[key]; found && r.Version <= held.Version {
		return false
	}
	b.whole[key] = r
	return true
}

// tidy drops the parts that no kept version has, and works out what is
// missing. It wants b.mu.
func (b *bodies) tidy() {
	used := map[spread.PartID]struct{}{}
	clear(b.missing)
	for key, known := range b.versions {
		held, found := b.whole[key]
		for i := range known {
			wanted := !found || known[i].Version > held.Version
			for _, id := range known[i].Parts {
				used[id] = struct{}{}
				if wanted && b.parts[id] == nil {
					b.missing[id] = struct{}{}
				}
			}
		}
	}
	for id := range b.parts {
		if _, needed := used[id]; !needed {
			delete(b.parts, id)
		}
	}
}
