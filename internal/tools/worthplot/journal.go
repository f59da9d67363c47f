package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// errNoRounds: the journal holds no whole round.
var errNoRounds = errors.New("no round of a deployment's standard days in the journal")

// entry is what is read of an entry of the journal.
type entry struct {
	Command string `json:"cmd"`
	// At is when it was begun and ended, the latter empty where it was not.
	At   []string `json:"at"`
	Site string   `json:"site"`
	Days []day    `json:"days"`
}

// day is one day that was played.
type day struct {
	Name  string  `json:"name"`
	Worth float64 `json:"G"`
	// ByKind is the share of its worth that each kind of request earned, none for a
	// kind that wasn't asked for.
	ByKind []*float64 `json:"by_class"`
	Served float64    `json:"served"`
	Prices []price    `json:"prices"`
}

// price is what one cause has cost, in worth.
type price struct {
	Cause string
	Worth float64
}

// UnmarshalJSON reads a list of the cause, its amount and its worth.
func (p *price) UnmarshalJSON(raw []byte) error {
	var amount float64
	return json.Unmarshal(raw, &[]any{&p.Cause, &amount, &p.Worth})
}

// round is one play of the standard days of a deployment.
type round struct {
	site string
	at   time.Time
	days []day
}

// drawnMark begins the names of days that were drawn for one play.
const drawnMark = "fresh"

// readRounds reads the plays of standard days, in the order of their times.
func readRounds(files []string) ([]round, error) {
	var out []round
	for _, name := range files {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var e entry
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if r, whole := e.round(); whole {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return nil, errNoRounds
	}
	slices.SortFunc(out, func(a, b round) int { return a.at.Compare(b.at) })
	return out, nil
}

// troubled is the number of standard days with trouble of a deployment.
const troubled = 5

func (e *entry) round() (round, bool) {
	r := round{site: e.Site}
	if e.Command != "score" || e.Site == "" || len(e.At) == 0 {
		return r, false
	}
	at, err := time.Parse(time.RFC3339, e.At[len(e.At)-1])
	if err != nil {
		return r, false
	}
	r.at = at
	for _, d := range e.Days {
		if !strings.HasPrefix(d.Name, drawnMark) {
			r.days = append(r.days, d)
		}
	}
	return r, len(r.days) > troubled
}

// mean is the mean worth of the days with trouble.
func (r *round) mean() float64 {
	sum, n := 0.0, 0
	for _, d := range r.days {
		if !strings.HasPrefix(d.Name, "quiet") {
			sum += d.Worth
			n++
		}
	}
	return sum / float64(max(1, n))
}

// newest keeps the last round of each deployment, in the order of their names.
func newest(rounds []round) []round {
	bySite := map[string]round{}
	for _, r := range rounds {
		bySite[r.site] = r
	}
	var out []round
	for _, r := range bySite {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b round) int { return strings.Compare(a.site, b.site) })
	return out
}
