package node

import (
	"bytes"
	"cmp"
	"slices"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxKeptVersions is the number of versions of a record whose parts are kept. A
// neighbour that is a few versions behind can still assemble one of them while
// operators write the next. Versions share most parts, so this needs little
// memory.
const maxKeptVersions = 8

// bodies holds the newest version of each record whose body is complete, and the
// available parts of the newest versions. It is safe for concurrent use.
type bodies struct {
	mu sync.Mutex
	// whole are the newest records with complete bodies, by key.
	whole map[string]port.Record
	// versions are the newest revisions in parts, by key, oldest first.
	versions map[string][]spread.Revision
	// parts are the parts that are present.
	parts map[spread.PartID]*part
	// missing are the absent parts of versions newer than the complete one.
	missing map[spread.PartID]struct{}
	// received is the number of parts received.
	received uint64
}

// part is a part of a body.
type part struct {
	// packed is the compressed content, as it is sent.
	packed []byte
	// content is a slice of the newest complete body if that contains the part, so
	// that a version can be assembled without decompressing the parts that it shares
	// with the one before. It is also set for a part that has just arrived, and nil
	// if the part has to be decompressed.
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

// putWhole stores a record with its body, and reports whether it is newer than the
// record present.
func (b *bodies) putWhole(r port.Record, revision *spread.Revision, parts [][]byte) bool {
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
	b.addVersion(revision)
	b.shareBody(revision, parts, r.Body)
	b.pruneParts()
	return true
}

// addRevision stores a revision whose parts may be missing, and returns the versions
// that become complete.
func (b *bodies) addRevision(revision *spread.Revision) []port.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(revision.Parts) > 0 {
		b.addVersion(revision)
		return b.assembleComplete()
	}
	if !b.setWhole(revision.Record) {
		return nil
	}
	return []port.Record{revision.Record}
}

// receiveParts stores received parts, and returns the versions that become
// complete. Parts that aren't missing are discarded, so that a peer can't exhaust
// the memory.
func (b *bodies) receiveParts(parts [][]byte) []port.Record {
	if len(parts) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, packed := range parts {
		content, err := spread.Unpack(packed)
		if err != nil {
			// Without its content the part's id is unknown. The missing part is
			// requested again later.
			continue
		}
		id := spread.IDOf(content)
		if _, lacked := b.missing[id]; lacked {
			b.parts[id] = &part{packed: packed, content: content}
			b.received++
		}
	}
	return b.assembleComplete()
}

// packedPart returns a part in compressed form, nil if it isn't present.
func (b *bodies) packedPart(id spread.PartID) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held := b.parts[id]; held != nil {
		return held.packed
	}
	return nil
}

// missingParts returns the ids of the missing parts, sorted.
func (b *bodies) missingParts() []spread.PartID {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]spread.PartID, 0, len(b.missing))
	for id := range b.missing {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// receivedParts returns the number of parts received so far.
func (b *bodies) receivedParts() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received
}

// records returns the newest complete version of each record.
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

// allWhole reports whether each known record has a complete version.
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

// addVersion adds a revision in parts to the known versions. It must be called
// with b.mu held.
func (b *bodies) addVersion(revision *spread.Revision) {
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
	if len(known) > maxKeptVersions {
		oldest := b.indexToDrop(key, known)
		known = slices.Delete(known, oldest, oldest+1)
	}
	b.versions[key] = known
}

// indexToDrop returns the index of the oldest version other than the one in force,
// which a starting daemon may need. It must be called with b.mu held.
func (b *bodies) indexToDrop(key string, known []spread.Revision) int {
	if held, found := b.whole[key]; found && known[0].Version == held.Version {
		return 1
	}
	return 0
}

// wholeRevisions returns the newest complete version of each record whose given
// revision isn't complete here.
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

// revisionOf returns the revision of a complete record, in parts if the version is
// known in parts. It must be called with b.mu held.
func (b *bodies) revisionOf(key string, held port.Record) spread.Revision {
	for _, known := range b.versions[key] {
		if known.Version == held.Version {
			return known
		}
	}
	return spread.Revision{Record: held}
}

// assembleComplete assembles the versions whose parts are all present, and
// returns them. It must be called with b.mu held.
func (b *bodies) assembleComplete() (completed []port.Record) {
	for key, known := range b.versions {
		if r, ok := b.assembleNewest(key, known); ok {
			b.setWhole(r)
			completed = append(completed, r)
		}
	}
	b.pruneParts()
	return completed
}

// assembleNewest assembles the newest version whose parts are all present and that is
// newer than the complete one.
func (b *bodies) assembleNewest(key string, known []spread.Revision) (port.Record, bool) {
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
		if r, ok := revision.WithBody(body); ok {
			b.shareBody(revision, contents, body)
			return r, true
		}
		// The sender computes hashes differently, or two contents have the same hash.
		// Requesting the parts again would give the same result every time, so the
		// version is discarded and the one before stays in force.
		b.versions[key] = slices.Delete(slices.Clone(known), i, i+1)
	}
	return port.Record{}, false
}

// contents returns the contents of parts, and whether all are present. It must be
// called with b.mu held.
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
			// Can't happen: parts that can't be decompressed aren't stored.
			return nil, false
		}
		contents[i] = content
	}
	return contents, true
}

// shareBody makes the contents of the parts slices of the body, so that they
// don't keep an older body in memory. It must be called with b.mu held.
func (b *bodies) shareBody(revision *spread.Revision, contents [][]byte, body []byte) {
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

// setWhole stores a record with its body if it is newer than the one present, and
// reports whether it is. It must be called with b.mu held.
func (b *bodies) setWhole(r port.Record) bool {
	key := spread.RecordKey(r.Kind, r.Name)
	if held, found := b.whole[key]; found && r.Version <= held.Version {
		return false
	}
	b.whole[key] = r
	return true
}

// pruneParts deletes the parts that no kept version contains, and recomputes the
// missing ones. It must be called with b.mu held.
func (b *bodies) pruneParts() {
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
