package httpplatform

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// listing is the reply to a list or a watch.
type listing struct {
	Objects  []port.Object      `json:"objects"`
	Revision port.StoreRevision `json:"revision"`
}

type hostList struct {
	Endpoints []port.Endpoint `json:"endpoints"`
}

// decodeObject decodes a reply and checks that it is the requested object.
func decodeObject(raw []byte, kind, name string) (port.Object, error) {
	var o port.Object
	if err := json.Unmarshal(raw, &o); err != nil {
		return port.Object{}, merry.Prepend(errBadReply, err.Error())
	}
	if o.Version == 0 {
		return port.Object{}, merry.Prependf(errBadReply, "%s/%s without a version", o.Kind, o.Name)
	}
	if o.Kind != kind || o.Name != name {
		return port.Object{}, merry.Prependf(errOtherObject, "asked for %s/%s, got %s/%s", kind, name, o.Kind, o.Name)
	}
	return o, nil
}

// decodeListing decodes a listing. It checks that every object is of the given
// kind and no newer than the listing's revision, and that the revision is not
// lower than after. If the revision didn't match the objects, a watch would
// skip changes unnoticed.
func decodeListing(raw []byte, kind string, after port.StoreRevision) ([]port.Object, port.StoreRevision, error) {
	var l listing
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, 0, merry.Prepend(port.ErrPlatformUnavailable, err.Error())
	}
	if l.Revision < after {
		// The platform's revision decreased, for example after a restore:
		// everything must be read again.
		return nil, 0, port.ErrRevisionGone
	}
	for i := range l.Objects {
		o := &l.Objects[i]
		if o.Kind != kind || o.Name == "" || o.Version == 0 || o.Version > uint64(l.Revision) {
			return nil, 0, merry.Prependf(port.ErrPlatformUnavailable, "bad object %s/%s at %d of %d", o.Kind, o.Name, o.Version, l.Revision)
		}
	}
	return l.Objects, l.Revision, nil
}

func decodeHosts(raw []byte) ([]port.HostEntry, error) {
	var l hostList
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, merry.Prepend(port.ErrPlatformUnavailable, err.Error())
	}
	out := make([]port.HostEntry, 0, len(l.Endpoints))
	for _, e := range l.Endpoints {
		// An entry without an ID or address can't be used for routing; the
		// other entries remain valid.
		if e.ID == "" || e.Address == "" {
			continue
		}
		out = append(out, port.HostEntry{Endpoint: e})
	}
	return out, nil
}
