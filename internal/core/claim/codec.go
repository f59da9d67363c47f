package claim

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	claimsv1 "github.com/dragonflyrail/dragonflyrail/api/claims/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// FormatVersion is the newest version of the protobuf encoding of a shard that
// this release reads.
const FormatVersion = 1

// The format versions of a shard's JSON value. A release without support for
// sealed parts refuses sealedFormat: it would ignore the parts and could grant a
// key whose tombstone is in one of them.
const (
	plainFormat  = 1
	sealedFormat = 2
)

// Errors of decoding a stored shard.
var (
	// ErrNewerFormat: a newer release wrote the shard; it is not modified.
	ErrNewerFormat = merry.Sentinel("claims: the shard has a newer format; update this daemon")
	// ErrCorrupt: the stored bytes violate the format.
	ErrCorrupt = merry.Sentinel("claims: the shard is corrupt")
)

// Upper bounds of the encoded sizes, in bytes, with field tags, length prefixes
// and varints of maximum length.
const (
	maxHeaderBytes       = 16
	maxLengthPrefixBytes = 4
	maxFixedClaimBytes   = 60
	maxBucketBytes       = 24
	maxBarredBytes       = 24
)

// storedValue is the JSON value of a platform object of kind "claims".
type storedValue struct {
	FormatVersion int       `json:"format_version"`
	Claims        []byte    `json:"claims"`
	Sealed        *partList `json:"ring,omitempty"`
}

// EncodeValue returns the shard as the JSON value of a platform object.
func (s *Shard) EncodeValue() (json.RawMessage, error) {
	raw, err := s.Encode()
	if err != nil {
		return nil, err
	}
	stored := storedValue{FormatVersion: plainFormat, Claims: raw}
	if len(s.sealed.Versions) > 0 {
		stored.FormatVersion = sealedFormat
		stored.Sealed = &s.sealed
	}
	value, err := json.Marshal(stored)
	return value, merry.Prepend(err, "claims")
}

// DecodeValue decodes a value encoded by EncodeValue.
func DecodeValue(value json.RawMessage) (*Shard, error) {
	var stored storedValue
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, merry.Prepend(ErrCorrupt, err.Error())
	}
	if stored.FormatVersion > sealedFormat {
		return nil, ErrNewerFormat
	}
	if stored.FormatVersion == sealedFormat && stored.Sealed == nil {
		return nil, merry.Prepend(ErrCorrupt, "the list of sealed parts is missing")
	}
	s, err := Decode(stored.Claims)
	if err != nil || stored.Sealed == nil {
		return s, err
	}
	if err := stored.Sealed.check(); err != nil {
		return nil, err
	}
	s.sealed = *stored.Sealed
	s.sealed.loaded = make([]*PartContent, len(s.sealed.Parts))
	return s, nil
}

// Encode returns the shard as protobuf bytes.
func (s *Shard) Encode() ([]byte, error) {
	m := &claimsv1.Shard{FormatVersion: FormatVersion}
	if len(s.claims) > 0 {
		m.BaseUnixMillis = s.claims[0].ClaimedUnixMillis
	}
	m.Issuers = slices.Sorted(maps.Keys(s.issuers))
	issuerNumbers := make(map[string]uint32, len(m.Issuers))
	for i, issuer := range m.Issuers {
		issuerNumbers[issuer] = uint32(i + 1)
	}
	m.Claims = make([]*claimsv1.Claim, 0, len(s.claims))
	for i := range s.claims {
		m.Claims = append(m.Claims, encodeClaim(&s.claims[i], m.BaseUnixMillis, issuerNumbers))
	}
	for _, bucket := range slices.Sorted(maps.Keys(s.tombstones.buckets)) {
		m.Tombstones = append(m.Tombstones, encodeBucket(bucket, s.tombstones.buckets[bucket]))
	}
	for _, hash := range slices.Sorted(maps.Keys(s.barred)) {
		m.Barred = append(m.Barred, &claimsv1.Barred{AttemptHash: hash, BarredUnixMillis: s.barred[hash]})
	}
	raw, err := proto.Marshal(m)
	return raw, merry.Prepend(err, "claims")
}

func encodeClaim(st *port.ClaimState, base int64, issuers map[string]uint32) *claimsv1.Claim {
	c := &claimsv1.Claim{
		KeyHash:            st.KeyHash[:],
		Outcome:            encodeOutcome(st.Outcome),
		StatusCode:         uint32(max(st.StatusCode, 0)),
		ClaimedDeltaMillis: st.ClaimedUnixMillis - base,
	}
	if issuer, id, ok := splitRequestID(st.RequestID); ok {
		c.Issuer = issuers[issuer]
		c.RequestUuid = id[:]
	} else {
		c.RequestText = st.RequestID
	}
	if id, ok := canonicalUUID(st.AttemptID); ok {
		c.AttemptUuid = id[:]
	} else if suffix, found := strings.CutPrefix(st.AttemptID, st.RequestID); found {
		c.AttemptSuffix = suffix
	} else {
		c.AttemptText = st.AttemptID
	}
	return c
}

func encodeBucket(bucket int64, prefixes []uint64) *claimsv1.Tombstones {
	raw := make([]byte, 0, len(prefixes)*prefixBytes)
	for _, p := range prefixes {
		raw = binary.BigEndian.AppendUint64(raw, p)
	}
	return &claimsv1.Tombstones{BucketUnixMillis: bucket, KeyPrefixes: raw}
}

// Decode decodes bytes encoded by Encode. The bytes come from outside this
// process and are not trusted.
func Decode(raw []byte) (*Shard, error) {
	var m claimsv1.Shard
	if err := proto.Unmarshal(raw, &m); err != nil {
		return nil, merry.Prepend(ErrCorrupt, err.Error())
	}
	if m.GetFormatVersion() > FormatVersion {
		return nil, ErrNewerFormat
	}
	s := NewShard()
	claims := make([]port.ClaimState, 0, len(m.GetClaims()))
	for _, c := range m.GetClaims() {
		st, err := decodeClaim(c, &m)
		if err != nil {
			return nil, err
		}
		claims = append(claims, st)
	}
	s.reset(claims)
	if len(s.index) != len(claims) {
		return nil, merry.Prepend(ErrCorrupt, "two claims have the same key hash")
	}
	for _, b := range m.GetBarred() {
		s.barred[b.GetAttemptHash()] = b.GetBarredUnixMillis()
	}
	return s, s.decodeTombstones(m.GetTombstones())
}

func (s *Shard) decodeTombstones(buckets []*claimsv1.Tombstones) error {
	for _, b := range buckets {
		raw := b.GetKeyPrefixes()
		if len(raw)%prefixBytes != 0 {
			return merry.Prepend(ErrCorrupt, "the length of the tombstone prefixes is not a multiple of 8")
		}
		for prefix := range slices.Chunk(raw, prefixBytes) {
			p := binary.BigEndian.Uint64(prefix)
			if s.tombstones.index[p] {
				continue
			}
			s.tombstones.index[p] = true
			bucket := b.GetBucketUnixMillis()
			s.tombstones.buckets[bucket] = append(s.tombstones.buckets[bucket], p)
		}
	}
	return nil
}

func decodeClaim(c *claimsv1.Claim, m *claimsv1.Shard) (port.ClaimState, error) {
	st := port.ClaimState{
		RequestID:         c.GetRequestText(),
		AttemptID:         c.GetAttemptText(),
		StatusCode:        int(min(c.GetStatusCode(), math.MaxInt32)),
		ClaimedUnixMillis: m.GetBaseUnixMillis() + c.GetClaimedDeltaMillis(),
	}
	if len(c.GetKeyHash()) != len(st.KeyHash) {
		return st, merry.Prepend(ErrCorrupt, "the key hash of a claim is not 16 bytes long")
	}
	copy(st.KeyHash[:], c.GetKeyHash())
	if n := c.GetIssuer(); n > 0 {
		if int64(n) > int64(len(m.GetIssuers())) || len(c.GetRequestUuid()) != len(uuid.UUID{}) {
			return st, merry.Prepend(ErrCorrupt, "the request id of a claim has an unknown issuer or an invalid UUID")
		}
		st.RequestID = m.GetIssuers()[n-1] + "." + uuid.UUID(c.GetRequestUuid()).String()
	}
	switch {
	case len(c.GetAttemptUuid()) == len(uuid.UUID{}):
		st.AttemptID = uuid.UUID(c.GetAttemptUuid()).String()
	case st.AttemptID == "":
		st.AttemptID = st.RequestID + c.GetAttemptSuffix()
	}
	outcome, err := decodeOutcome(c.GetOutcome())
	st.Outcome = outcome
	return st, err
}

func encodeOutcome(o port.ClaimOutcome) claimsv1.Outcome {
	switch o {
	case port.ClaimDone:
		return claimsv1.Outcome_OUTCOME_DONE
	case port.ClaimFailed:
		return claimsv1.Outcome_OUTCOME_FAILED
	case port.ClaimNotRun:
		return claimsv1.Outcome_OUTCOME_NOT_RUN
	case port.ClaimUnknown:
		return claimsv1.Outcome_OUTCOME_UNKNOWN
	default:
		return claimsv1.Outcome_OUTCOME_CLAIMED
	}
}

func decodeOutcome(o claimsv1.Outcome) (port.ClaimOutcome, error) {
	switch o {
	case claimsv1.Outcome_OUTCOME_CLAIMED:
		return port.ClaimUnsettled, nil
	case claimsv1.Outcome_OUTCOME_DONE:
		return port.ClaimDone, nil
	case claimsv1.Outcome_OUTCOME_FAILED:
		return port.ClaimFailed, nil
	case claimsv1.Outcome_OUTCOME_NOT_RUN:
		return port.ClaimNotRun, nil
	case claimsv1.Outcome_OUTCOME_UNKNOWN:
		return port.ClaimUnknown, nil
	default:
		// Treating an outcome of a later release as a known one could release a
		// key for a second run.
		return "", merry.Prepend(ErrCorrupt, "a claim has an unknown outcome")
	}
}

// splitRequestID splits an id of the form <issuer>.<uuid>. ok is false unless the
// two parts can be joined to exactly the same id.
func splitRequestID(id string) (issuer string, u uuid.UUID, ok bool) {
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		return "", u, false
	}
	u, ok = canonicalUUID(id[dot+1:])
	return id[:dot], u, ok
}

// canonicalUUID parses s and reports whether s is a UUID in canonical form, which
// String reproduces unchanged.
func canonicalUUID(s string) (uuid.UUID, bool) {
	u, err := uuid.Parse(s)
	return u, err == nil && u.String() == s
}

// maxClaimBytes is an upper bound of the encoded size of a claim without its
// issuer.
func maxClaimBytes(st *port.ClaimState) int {
	cost := maxFixedClaimBytes
	if _, _, ok := splitRequestID(st.RequestID); !ok {
		cost += len(st.RequestID) + maxLengthPrefixBytes
	}
	if _, ok := canonicalUUID(st.AttemptID); ok {
		return cost + len(uuid.UUID{})
	}
	suffix, found := strings.CutPrefix(st.AttemptID, st.RequestID)
	if !found {
		suffix = st.AttemptID
	}
	return cost + len(suffix) + maxLengthPrefixBytes
}
