package record

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// QuarantineName is the name of the only record with quarantined requests.
const QuarantineName = "main"

// QuarantineDocument returns the document for the quarantined requests, for the
// first MaxQuarantinedRequests of them if there are more.
func QuarantineDocument(quarantined []quarantine.Suspect) json.RawMessage {
	spec := RequestQuarantine{Requests: []QuarantinedRequest{}}
	for _, s := range quarantined[:min(len(quarantined), MaxQuarantinedRequests)] {
		r := QuarantinedRequest{Fingerprint: s.Fingerprint.String()}
		for _, c := range s.Crashes {
			r.Crashes = append(r.Crashes, hex.EncodeToString(binary.BigEndian.AppendUint64(nil, uint64(c))))
		}
		spec.Requests = append(spec.Requests, r)
	}
	raw, err := json.Marshal(struct {
		SchemaVersion int               `json:"schema_version"`
		Kind          string            `json:"kind"`
		Name          string            `json:"name"`
		Spec          RequestQuarantine `json:"spec"`
	}{LatestSchema, port.ObjectRequestQuarantine, QuarantineName, spec})
	if err != nil {
		// Can't happen: all values are strings, numbers or booleans.
		panic(err)
	}
	return raw
}

// QuarantineUpToDate reports whether the record contains exactly the first
// MaxQuarantinedRequests of the quarantined requests, and no released ones.
func QuarantineUpToDate(r port.Record, quarantined []quarantine.Suspect) bool {
	held, released, err := DecodeQuarantine(r)
	return err == nil && len(released) == 0 &&
		slices.EqualFunc(held, quarantined[:min(len(quarantined), MaxQuarantinedRequests)], func(a, b quarantine.Suspect) bool {
			return a.Fingerprint == b.Fingerprint && slices.Equal(a.Crashes, b.Crashes)
		})
}

// DecodeQuarantine returns the requests of a quarantine record: those that must not be
// sent, and those that an operator has released.
func DecodeQuarantine(r port.Record) (held, released []quarantine.Suspect, err error) {
	var spec RequestQuarantine
	if err := decodeLatest(r, &spec); err != nil {
		return nil, nil, err
	}
	for _, q := range spec.Requests {
		s := quarantine.Suspect{}
		if _, err := hex.Decode(s.Fingerprint[:], []byte(q.Fingerprint)); err != nil {
			return nil, nil, &FieldError{Field: "spec.requests.fingerprint", Problem: err.Error()}
		}
		var crashes []quarantine.CrashID
		for _, text := range q.Crashes {
			raw, err := hex.DecodeString(text)
			if err != nil {
				return nil, nil, &FieldError{Field: "spec.requests.crashes", Problem: err.Error()}
			}
			crashes = append(crashes, quarantine.CrashID(binary.BigEndian.Uint64(raw)))
		}
		s.Crashes = quarantine.Union(crashes, nil)
		if q.Released {
			released = append(released, s)
			continue
		}
		held = append(held, s)
	}
	return held, released, nil
}
