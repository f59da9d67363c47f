package placement

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/ansel1/merry/v2"
)

// LedgerFormat is the newest format of the stored ledger that this release reads.
const LedgerFormat = 1

// Errors of decoding a stored ledger.
var (
	ErrLedgerCorrupt = merry.Sentinel("placement: the stored ledger can't be read")
	ErrLedgerNewer   = merry.Sentinel("placement: the stored ledger has a newer format; update this daemon")
)

// Permit allows one runner to execute one step. A runner has at most one permit.
type Permit struct {
	Endpoint    string `json:"endpoint"`
	Incarnation uint64 `json:"incarnation"`
	// Loads: the step counts against the load budget of the weight store.
	Loads bool `json:"loads,omitempty"`
	// Models are those that the step disrupts; they do not count as ready on the
	// runner.
	Models []string `json:"models,omitempty"`
	// Fence is the fencing number of the lease under which the permit was taken.
	Fence uint64 `json:"fence"`
}

// Ledger contains the permits of all lease holders. It is stored in one platform
// object and changed by compare-and-set. It enforces the load budget of the weight
// store across holders, and prevents two holders from disrupting the last two
// runners of a model at the same time.
type Ledger struct {
	FormatVersion int      `json:"format_version"`
	Permits       []Permit `json:"permits"`
}

// DecodeLedger decodes a stored ledger.
func DecodeLedger(value json.RawMessage) (*Ledger, error) {
	var l Ledger
	if err := json.Unmarshal(value, &l); err != nil {
		return nil, merry.Prepend(ErrLedgerCorrupt, err.Error())
	}
	if l.FormatVersion > LedgerFormat {
		return nil, ErrLedgerNewer
	}
	return &l, nil
}

// Encode returns the ledger in its stored format.
func (l *Ledger) Encode() (json.RawMessage, error) {
	l.FormatVersion = LedgerFormat
	if l.Permits == nil {
		l.Permits = []Permit{}
	}
	value, err := json.Marshal(l)
	return value, merry.Prepend(err, "placement")
}

// Find returns the permit of a runner.
func (l *Ledger) Find(endpoint string) (Permit, bool) {
	i := slices.IndexFunc(l.Permits, func(p Permit) bool { return p.Endpoint == endpoint })
	if i < 0 {
		return Permit{}, false
	}
	return l.Permits[i], true
}

// Disrupted reports whether a permit disrupts the model on the runner, so that it
// does not count as ready there.
func (l *Ledger) Disrupted(endpoint, model string) bool {
	p, found := l.Find(endpoint)
	return found && slices.Contains(p.Models, model)
}

// Release removes a runner's permit and reports whether there was one.
func (l *Ledger) Release(endpoint string) bool {
	before := len(l.Permits)
	l.Permits = slices.DeleteFunc(l.Permits, func(p Permit) bool { return p.Endpoint == endpoint })
	return len(l.Permits) < before
}

// Prune removes the permits of runners that no longer exist or have restarted, and
// reports whether there were any. Alive returns the current incarnation of a runner.
func (l *Ledger) Prune(alive func(endpoint string) (incarnation uint64, found bool)) bool {
	before := len(l.Permits)
	l.Permits = slices.DeleteFunc(l.Permits, func(p Permit) bool {
		incarnation, found := alive(p.Endpoint)
		return !found || incarnation > p.Incarnation
	})
	return len(l.Permits) < before
}

// Budget limits concurrent steps.
type Budget struct {
	// MaxLoads is the maximum number of concurrent loads from the weight store.
	MaxLoads int
}

// Acquire records a permit for the step, or returns the reason for refusing it.
// Serving returns the number of runners, without that of the step, that serve a
// model and have no permit that disrupts it. Its data must have been read after the
// ledger.
func (l *Ledger) Acquire(s *Step, fence uint64, b Budget, serving func(model string) int) (refusal string) {
	if s.ReadsWeights && l.countLoads(s.Endpoint.ID) >= b.MaxLoads {
		return fmt.Sprintf("the weight store's budget of %d loads is spent", b.MaxLoads)
	}
	for _, d := range s.Disrupts {
		if n := serving(d.Model); n < d.MinReady {
			return disruptionRefusal(&d, n)
		}
	}
	l.Release(s.Endpoint.ID)
	p := Permit{Endpoint: s.Endpoint.ID, Incarnation: s.Endpoint.Incarnation, Loads: s.ReadsWeights, Fence: fence}
	for _, d := range s.Disrupts {
		p.Models = append(p.Models, d.Model)
	}
	l.Permits = append(l.Permits, p)
	return ""
}

func disruptionRefusal(d *Disruption, others int) string {
	if others == 0 {
		return "it is the last ready runner of " + d.Model
	}
	return fmt.Sprintf("only %d other runners serve %s and %d must", others, d.Model, d.MinReady)
}

func (l *Ledger) countLoads(except string) int {
	n := 0
	for _, p := range l.Permits {
		if p.Loads && p.Endpoint != except {
			n++
		}
	}
	return n
}
