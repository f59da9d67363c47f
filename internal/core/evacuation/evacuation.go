// Package evacuation is about failure domains whose endpoints get no new work
// until an operator takes that back. It knows no sockets and no other daemons:
// evacuations come as records, and what follows for an endpoint is decided here.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// RetryAfter is promised to callers where all endpoints are evacuated: operators
// take that back after minutes, so nobody is held for it.
const RetryAfter = 5 * time.Second

// Evacuation is the order that the endpoints of a failure domain get nothing
// more. What runs there goes on.
type Evacuation struct {
	FailureDomain string `json:"failure_domain"`
	// Reason, RequestedBy and Since are empty where the order doesn't say.
	Reason      string     `json:"reason,omitempty"`
	RequestedBy string     `json:"requested_by,omitempty"`
	Since       *time.Time `json:"since,omitempty"`
	// Kind is the kind of record that gives the order, Version its version.
	Kind    string `json:"kind"`
	Version uint64 `json:"version"`
}

// text says who gave the order, and why.
func (e *Evacuation) text() string {
	text := "by " + cmp.Or(e.RequestedBy, "an operator") + " through " + e.Kind
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	return text
}

// Set holds the evacuations in force by failure domain. The zero value holds
// none.
type Set struct {
	domains map[string][]Evacuation
}

// NewSet returns the set of some evacuations. A domain may be evacuated by
// several orders, and is until the last one is taken back.
func NewSet(in []Evacuation) Set {
	s := Set{domains: make(map[string][]Evacuation, len(in))}
	for _, e := range in {
		s.domains[e.FailureDomain] = append(s.domains[e.FailureDomain], e)
	}
	return s
}

// Has reports whether the failure domain is evacuated.
func (s Set) Has(domain string) bool { return len(s.domains[domain]) > 0 }

// Domains lists the evacuated failure domains.
func (s Set) Domains() []string { return slices.Sorted(maps.Keys(s.domains)) }

// All lists the evacuations in force, by failure domain and kind.
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

// Changes are the failure domains that two sets hold differently.
type Changes struct {
	Evacuated []string
	TakenBack []string
}

// ChangesTo compares the set with the one that follows it.
func (s Set) ChangesTo(next Set) Changes {
	var c Changes
	for domain := range next.domains {
		if !s.Has(domain) {
			c.Evacuated = append(c.Evacuated, domain)
		}
	}
	for domain := range s.domains {
		if !next.Has(domain) {
			c.TakenBack = append(c.TakenBack, domain)
		}
	}
	slices.Sort(c.Evacuated)
	slices.Sort(c.TakenBack)
	return c
}

// Any reports whether there are changes.
func (c *Changes) Any() bool { return len(c.Evacuated)+len(c.TakenBack) > 0 }

// Concerns reports whether a domain's state changes.
func (c *Changes) Concerns(domain string) bool {
	return slices.Contains(c.Evacuated, domain) || slices.Contains(c.TakenBack, domain)
}

// Decisions are what to log of the changes to the set that followed.
func (c *Changes) Decisions(next Set) []*port.DecisionRecord {
	var out []*port.DecisionRecord
	for _, domain := range c.Evacuated {
		for _, e := range next.domains[domain] {
			out = append(out, &port.DecisionRecord{
				Subject: subject, SubjectID: domain, Verdict: "evacuate", Reason: e.text(), ConfigurationVersion: e.Version,
			})
		}
	}
	for _, domain := range c.TakenBack {
		out = append(out, &port.DecisionRecord{
			Subject: subject, SubjectID: domain, Verdict: "use_again", Reason: "the evacuation was taken back",
		})
	}
	return out
}

// subject is that of decisions on failure domains.
const subject = "failure-domain"

// Mark notes on an endpoint whether its failure domain is evacuated.
func (s Set) Mark(e port.Endpoint) port.Endpoint {
	e.Evacuated = s.Has(e.FailureDomain)
	return e
}
