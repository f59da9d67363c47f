// Package evacuation implements the evacuation of failure domains: their endpoints
// get no new work until an operator withdraws the order. Orders arrive as records;
// this package decides their effect on endpoints. It does no I/O and doesn't
// communicate with other daemons.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// RetryAfter is sent to callers when all endpoints are evacuated. Operators withdraw
// an evacuation after minutes, so requests are not held until then.
const RetryAfter = 5 * time.Second

// Evacuation is an order to send no new work to the endpoints of a failure domain.
// Work that runs there continues.
type Evacuation struct {
	FailureDomain string `json:"failure_domain"`
	// Reason, RequestedBy and Since are empty if the order doesn't state them.
	Reason      string     `json:"reason,omitempty"`
	RequestedBy string     `json:"requested_by,omitempty"`
	Since       *time.Time `json:"since,omitempty"`
	// Kind and Version are the kind and the version of the record with the order.
	Kind    string `json:"kind"`
	Version uint64 `json:"version"`
}

// description returns who gave the order, and why.
func (e *Evacuation) description() string {
	text := "by " + cmp.Or(e.RequestedBy, "an operator") + " through " + e.Kind
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	return text
}

// Set holds the evacuations in force by failure domain. The zero value is an empty
// set.
type Set struct {
	domains map[string][]Evacuation
}

// NewSet returns a set of evacuations. A failure domain may be evacuated by several
// orders; it is evacuated until the last one is withdrawn.
func NewSet(in []Evacuation) Set {
	s := Set{domains: make(map[string][]Evacuation, len(in))}
	for _, e := range in {
		s.domains[e.FailureDomain] = append(s.domains[e.FailureDomain], e)
	}
	return s
}

// Has reports whether the failure domain is evacuated.
func (s Set) Has(domain string) bool { return len(s.domains[domain]) > 0 }

// Domains returns the evacuated failure domains in order.
func (s Set) Domains() []string { return slices.Sorted(maps.Keys(s.domains)) }

// All returns the evacuations in force, sorted by failure domain and kind.
func (s Set) All() []Evacuation {
	out := []Evacuation{}
	for _, es := range s.domains {
		out = append(out, es...)
	}
	slices.SortFunc(out, func(a, b Evacuation) int {
		if c := strings.Compare(a.FailureDomain, b.FailureDomain); c != 0 {
			return c
		}
		return strings.Compare(a.Kind, b.Kind)
	})
	return out
}

// Changes lists the failure domains whose state differs between two sets.
type Changes struct {
	Evacuated []string
	Withdrawn []string
}

// ChangesTo returns the changes from this set to the next one.
func (s Set) ChangesTo(next Set) Changes {
	var c Changes
	for domain := range next.domains {
		if !s.Has(domain) {
			c.Evacuated = append(c.Evacuated, domain)
		}
	}
	for domain := range s.domains {
		if !next.Has(domain) {
			c.Withdrawn = append(c.Withdrawn, domain)
		}
	}
	slices.Sort(c.Evacuated)
	slices.Sort(c.Withdrawn)
	return c
}

// Any reports whether there are changes.
func (c *Changes) Any() bool { return len(c.Evacuated)+len(c.Withdrawn) > 0 }

// Concerns reports whether the state of a failure domain changes.
func (c *Changes) Concerns(domain string) bool {
	return slices.Contains(c.Evacuated, domain) || slices.Contains(c.Withdrawn, domain)
}

// Decisions returns the log records of the changes to the next set.
func (c *Changes) Decisions(next Set) []*port.DecisionRecord {
	var out []*port.DecisionRecord
	for _, domain := range c.Evacuated {
		for _, e := range next.domains[domain] {
			out = append(out, &port.DecisionRecord{
				Subject: subject, SubjectID: domain, Verdict: "evacuate", Reason: e.description(), ConfigurationVersion: e.Version,
			})
		}
	}
	for _, domain := range c.Withdrawn {
		out = append(out, &port.DecisionRecord{
			Subject: subject, SubjectID: domain, Verdict: "use_again", Reason: "the evacuation was taken back",
		})
	}
	return out
}

// subject is the subject of log records on failure domains.
const subject = "failure-domain"

// Mark sets whether the failure domain of an endpoint is evacuated.
func (s Set) Mark(e port.Endpoint) port.Endpoint {
	e.Evacuated = s.Has(e.FailureDomain)
	return e
}
