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

// errNoRounds means that the journal has no complete round.
var errNoRounds = errors.New("the journal has no complete round of a deployment's standard days")

// entry holds the fields of a journal entry that the plots need.
type entry struct {
	Command string `json:"cmd"`
	// At holds the start and end times. The end is empty if the command did not
	// end.
	At   []string `json:"at"`
	Site string   `json:"site"`
	Days []day    `json:"days"`
}

// day is the result of one test day.
type day struct {
	Name  string  `json:"name"`
	Worth float64 `json:"G"`
	// ByKind is the fraction of its maximum worth that each kind of request
	// earned, nil for a kind without requests.
	ByKind []*float64 `json:"by_class"`
	Served float64    `json:"served"`
	Prices []price    `json:"prices"`
}

// price is the worth that one cause has cost.
type price struct {
	Cause string
	Worth float64
}

// UnmarshalJSON decodes a list of the cause, its amount and its worth.
func (p *price) UnmarshalJSON(raw []byte) error {
	var amount float64
	return json.Unmarshal(raw, &[]any{&p.Cause, &amount, &p.Worth})
}

// round is one run of the standard days of a deployment.
type round struct {
	site string
	at   time.Time
	days []day
}

// randomDayPrefix starts the names of the days that were generated at random for
// a single run and are not standard days.
const randomDayPrefix = "fresh"

// readRounds reads the runs of standard days, in the order of their end times.
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
		if r, complete := e.round(); complete {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return nil, errNoRounds
	}
	slices.SortFunc(out, func(a, b round) int { return a.at.Compare(b.at) })
	return out, nil
}

// faultDays is the number of standard days with faults of a deployment.
const faultDays = 5

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
		if !strings.HasPrefix(d.Name, randomDayPrefix) {
			r.days = append(r.days, d)
		}
	}
	return r, len(r.days) > faultDays
}

// meanWorth returns the mean worth of the days with faults.
func (r *round) meanWorth() float64 {
	sum, n := 0.0, 0
	for _, d := range r.days {
		if !strings.HasPrefix(d.Name, "quiet") {
			sum += d.Worth
			n++
		}
	}
	return sum / float64(max(1, n))
}

// newestRounds returns the last round of each deployment, sorted by deployment
// name.
func newestRounds(rounds []round) []round {
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
