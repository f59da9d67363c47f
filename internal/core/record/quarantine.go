package record

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// QuarantineName is the name of the only record with quarantined requests and parts.
const QuarantineName = "main"

// Quarantined are requests and parts of prompts that must not be sent.
type Quarantined struct {
	Requests []quarantine.Suspect
	Parts    []quarantine.PartSuspect
}

// IsEmpty reports whether there are none.
func (q Quarantined) IsEmpty() bool { return len(q.Requests) == 0 && len(q.Parts) == 0 }

// bounded returns as many as a record may hold.
func (q Quarantined) bounded() Quarantined {
	return Quarantined{
		Requests: q.Requests[:min(len(q.Requests), MaxQuarantinedRequests)],
		Parts:    q.Parts[:min(len(q.Parts), MaxQuarantinedParts)],
	}
}

// QuarantineDocument returns the document for what is quarantined, for the first
// MaxQuarantinedRequests and MaxQuarantinedParts if there are more.
func QuarantineDocument(q Quarantined) json.RawMessage {
	q = q.bounded()
	spec := RequestQuarantine{Requests: []QuarantinedRequest{}}
	for _, s := range q.Requests {
		r := QuarantinedRequest{Fingerprint: s.Fingerprint.String()}
		for _, c := range s.Crashes {
			r.Crashes = append(r.Crashes, c.String())
		}
		spec.Requests = append(spec.Requests, r)
	}
	for i := range q.Parts {
		spec.Parts = append(spec.Parts, quarantinedPart(&q.Parts[i]))
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

// quarantinedPart returns a part in the form in which it is stored.
func quarantinedPart(s *quarantine.PartSuspect) QuarantinedPart {
	p := QuarantinedPart{
		Fingerprint: s.Part.Fingerprint.String(), Part: quarantine.PartName(s.Part.ID), Organisation: s.Organisation,
		Companions: []string{}, Crashes: []PartCrash{},
	}
	for _, c := range s.Companions {
		p.Companions = append(p.Companions, encodeID(c))
	}
	if len(s.Crashes) == 0 {
		return p
	}
	first := slices.MinFunc(s.Crashes, func(a, b quarantine.PartCrash) int { return a.At.Compare(b.At) }).At
	for _, c := range s.Crashes {
		p.Crashes = append(p.Crashes, PartCrash{
			Endpoint: c.ID.String(), Request: encodeID(c.Request), AfterMillis: c.At.Sub(first).Milliseconds(), RanMillis: c.Ran.Milliseconds(),
		})
	}
	return p
}

// QuarantineUpToDate reports whether the record contains exactly the first
// MaxQuarantinedRequests and MaxQuarantinedParts of what is quarantined, and nothing
// that is released.
func QuarantineUpToDate(r port.Record, q Quarantined) bool {
	q = q.bounded()
	held, released, err := DecodeQuarantine(r)
	sameRequest := func(a, b quarantine.Suspect) bool {
		return a.Fingerprint == b.Fingerprint && slices.Equal(a.Crashes, b.Crashes)
	}
	// Times of crashes differ between daemons by the delay of messages.
	samePart := func(a, b quarantine.PartSuspect) bool {
		return a.Part == b.Part && slices.Equal(a.Companions, b.Companions) &&
			slices.EqualFunc(a.Crashes, b.Crashes, func(x, y quarantine.PartCrash) bool { return x.ID == y.ID && x.Request == y.Request })
	}
	return err == nil && released.IsEmpty() &&
		slices.EqualFunc(held.Requests, q.Requests, sameRequest) && slices.EqualFunc(held.Parts, q.Parts, samePart)
}

// DecodeQuarantine returns the contents of a quarantine record: what must not be sent,
// and what an operator has released. Of the times of crashes only the differences have a
// meaning.
func DecodeQuarantine(r port.Record) (held, released Quarantined, err error) {
	var spec RequestQuarantine
	if err := decodeLatest(r, &spec); err != nil {
		return held, released, err
	}
	for _, q := range spec.Requests {
		s, err := q.decode()
		if err != nil {
			return Quarantined{}, Quarantined{}, err
		}
		to := &held
		if q.Released {
			to = &released
		}
		to.Requests = append(to.Requests, s)
	}
	for _, p := range spec.Parts {
		s, err := p.decode()
		if err != nil {
			return Quarantined{}, Quarantined{}, err
		}
		to := &held
		if p.Released {
			to = &released
		}
		to.Parts = append(to.Parts, s)
	}
	return held, released, nil
}

func (q *QuarantinedRequest) decode() (quarantine.Suspect, error) {
	s := quarantine.Suspect{}
	if _, err := hex.Decode(s.Fingerprint[:], []byte(q.Fingerprint)); err != nil {
		return s, &FieldError{Field: "spec.requests.fingerprint", Problem: err.Error()}
	}
	var crashes []quarantine.CrashID
	for _, text := range q.Crashes {
		id, err := decodeID(text)
		if err != nil {
			return s, &FieldError{Field: "spec.requests.crashes", Problem: err.Error()}
		}
		crashes = append(crashes, quarantine.CrashID(id))
	}
	s.Crashes = quarantine.Union(crashes, nil)
	return s, nil
}

func (p *QuarantinedPart) decode() (quarantine.PartSuspect, error) {
	s := quarantine.PartSuspect{Organisation: p.Organisation}
	if _, err := hex.Decode(s.Part.Fingerprint[:], []byte(p.Fingerprint)); err != nil {
		return s, &FieldError{Field: "spec.parts.fingerprint", Problem: err.Error()}
	}
	var err error
	if s.Part.ID, err = strconv.ParseUint(p.Part, 16, 64); err != nil {
		return s, &FieldError{Field: "spec.parts.part", Problem: err.Error()}
	}
	for _, text := range p.Companions {
		id, err := decodeID(text)
		if err != nil {
			return s, &FieldError{Field: "spec.parts.companions", Problem: err.Error()}
		}
		s.Companions = append(s.Companions, id)
	}
	slices.Sort(s.Companions)
	for _, c := range p.Crashes {
		endpoint, err := decodeID(c.Endpoint)
		if err != nil {
			return s, &FieldError{Field: "spec.parts.crashes.endpoint", Problem: err.Error()}
		}
		request, err := decodeID(c.Request)
		if err != nil {
			return s, &FieldError{Field: "spec.parts.crashes.request", Problem: err.Error()}
		}
		s.Crashes = append(s.Crashes, quarantine.PartCrash{
			ID: quarantine.CrashID(endpoint), Request: request,
			Ran: time.Duration(c.RanMillis) * time.Millisecond, At: time.Time{}.Add(time.Duration(c.AfterMillis) * time.Millisecond),
		})
	}
	s.Crashes = quarantine.UniteCrashes(s.Crashes, nil)
	return s, nil
}

func encodeID(id uint64) string { return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, id)) }

// decodeID decodes an id of 16 hexadecimal digits, which the schema demands.
func decodeID(text string) (uint64, error) {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(raw), nil
}
