package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/olekukonko/tablewriter"
)

// Histograms record microseconds from 1 µs to ten minutes with three
// significant digits.
const (
	minMicros         = 1
	maxMicros         = 600_000_000
	significantDigits = 3
)

// allClasses names the report line that sums all classes.
const allClasses = "all"

// sample is the result of one request as observed by its caller.
type sample struct {
	outcome    Outcome
	reason     string
	firstToken time.Duration
	gaps       []time.Duration
	tokens     int
	resumes    int
}

// Quantiles summarises a distribution of durations, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// ClassReport holds the results of the requests of one class, as observed by
// their callers.
type ClassReport struct {
	Name     string          `json:"class"`
	Requests int             `json:"requests"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Reasons counts the reasons of requests with any outcome but done.
	Reasons map[string]int `json:"reasons,omitempty"`
	Tokens  int            `json:"tokens"`
	Resumes int            `json:"resumes"`
	// FirstToken is the time to the first token, or the total time of a service
	// call.
	FirstToken Quantiles `json:"first_token"`
	Gap        Quantiles `json:"gap"`
	// StallMillis sums the time by which gaps exceeded the stall threshold;
	// Stalls counts those gaps.
	StallMillis float64 `json:"stall_ms"`
	Stalls      int     `json:"stalls"`

	firstTokenHistogram *hdrhistogram.Histogram
	gapHistogram        *hdrhistogram.Histogram
}

// Report is the result of a run.
type Report struct {
	Workload       string         `json:"workload"`
	Seed           uint64         `json:"seed"`
	Seconds        float64        `json:"seconds"`
	StallThreshold time.Duration  `json:"-"`
	Classes        []*ClassReport `json:"classes"`

	mu sync.Mutex
}

func newReport(w *Workload) *Report {
	r := &Report{Workload: w.Name, Seed: w.Seed, StallThreshold: w.StallThreshold}
	for _, class := range w.Classes {
		r.Classes = append(r.Classes, newClassReport(class.Name))
	}
	r.Classes = append(r.Classes, newClassReport(allClasses))
	return r
}

func newClassReport(name string) *ClassReport {
	return &ClassReport{
		Name: name, Outcomes: map[Outcome]int{}, Reasons: map[string]int{},
		firstTokenHistogram: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		gapHistogram:        hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

// Class returns the report of the named class, or of all classes for "all". It
// returns nil for an unknown class.
func (r *Report) Class(name string) *ClassReport {
	at := slices.IndexFunc(r.Classes, func(c *ClassReport) bool { return c.Name == name })
	if at < 0 {
		return nil
	}
	return r.Classes[at]
}

// AllIntact reports whether no request has outcome cut or broken.
func (r *Report) AllIntact() bool {
	all := r.Class(allClasses).Outcomes
	return all[OutcomeCut] == 0 && all[OutcomeBroken] == 0
}

func (r *Report) add(class string, s *sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Class(class).add(s, r.StallThreshold)
	r.Class(allClasses).add(s, r.StallThreshold)
}

func (c *ClassReport) add(s *sample, threshold time.Duration) {
	c.Requests++
	c.Outcomes[s.outcome]++
	if s.reason != "" {
		c.Reasons[s.reason]++
	}
	c.Tokens += s.tokens
	c.Resumes += s.resumes
	if s.firstToken > 0 {
		record(c.firstTokenHistogram, s.firstToken)
	}
	for _, gap := range s.gaps {
		record(c.gapHistogram, gap)
		if gap > threshold {
			c.Stalls++
			c.StallMillis += millis(gap - threshold)
		}
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue only fails outside the range, so the value is clamped.
	_ = h.RecordValue(min(maxMicros, max(minMicros, d.Microseconds())))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (r *Report) finish(elapsed time.Duration) {
	r.Seconds = elapsed.Seconds()
	for _, c := range r.Classes {
		c.FirstToken = quantiles(c.firstTokenHistogram)
		c.Gap = quantiles(c.gapHistogram)
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// WriteTable writes the report as a text table, followed by the count of each
// reason.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s, seed %d, %.1f s\n", r.Workload, r.Seed, r.Seconds)
	table := tablewriter.NewWriter(w)
	table.Header("class", "requests", "outcomes", "tokens", "first p50/p95/p99 ms", "gap p50/p95/p99 ms", "stalls", "stall ms", "resumes")
	for _, c := range r.Classes {
		err := table.Append(c.Name, itoa(c.Requests), outcomeText(c.Outcomes), itoa(c.Tokens),
			c.FirstToken.text(), c.Gap.text(), itoa(c.Stalls), fmt.Sprintf("%.0f", c.StallMillis), itoa(c.Resumes))
		if err != nil {
			return err
		}
	}
	if err := table.Render(); err != nil {
		return err
	}
	reasons := r.Class(allClasses).Reasons
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		fmt.Fprintf(w, "%d: %s\n", reasons[reason], reason)
	}
	return nil
}

func (q Quantiles) text() string { return fmt.Sprintf("%.1f / %.1f / %.1f", q.P50, q.P95, q.P99) }

func outcomeText(outcomes map[Outcome]int) string {
	names := make([]Outcome, 0, len(outcomes))
	for name := range outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf("%s %d ", name, outcomes[name])
	}
	return text
}
