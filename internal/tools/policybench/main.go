// Command policybench measures routing policies against the engine model and
// prints all results of a run in one table. It calls the decision code directly
// and steps the engines on a simulated clock; see docs/design/routing.md.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"
)

// options holds the command-line options.
type options struct {
	Seeds    int           `long:"seeds" default:"5" description:"runs of each policy, each with different arrivals"`
	Length   time.Duration `long:"length" default:"240s" description:"simulated time of arrivals"`
	Workers  int           `long:"workers" default:"4" description:"concurrent runs"`
	Short    bool          `long:"short" description:"two seeds at 0.9 load only"`
	Workload string        `long:"workload" description:"only this workload"`
	Scenario string        `long:"scenario" description:"only these scenarios, by name"`
	Policy   string        `long:"policy" description:"only policies whose name contains this"`
	JSON     string        `long:"json" description:"write the figures to this file"`
	SVG      string        `long:"svg" description:"write the plot to this file"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := bench(&o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

const defaultReportLag = 200 * time.Millisecond

// referenceScenario is the scenario in which the policies are compared.
const referenceScenario = "load 0.9"

// The flood scenario is compared with the scenario of the same base load.
const (
	unfloodedScenario = "load 0.7"
	floodScenario     = "flood"
)

func scenarios() []scenario {
	return []scenario{
		{name: unfloodedScenario, load: 0.7, lag: defaultReportLag},
		{name: referenceScenario, load: 0.9, lag: defaultReportLag},
		{name: "load 1.0", load: 1.0, lag: defaultReportLag},
		{name: "load 1.2", load: 1.2, lag: defaultReportLag},
		{name: "lag 0", load: 0.9},
		{name: "lag 1000 ms", load: 0.9, lag: time.Second},
		{name: "one slowed", load: 0.9, lag: defaultReportLag, slow: true},
		{name: "one reclaimed", load: 0.9, lag: defaultReportLag, reclaim: true},
		{name: floodScenario, load: 0.7, lag: defaultReportLag, flood: true},
	}
}

// row is one line of the table: the mean and the standard deviation of each
// measure over the seeds.
type row struct {
	Workload string             `json:"workload"`
	Scenario string             `json:"scenario"`
	Policy   string             `json:"policy"`
	Mean     map[string]float64 `json:"mean"`
	Spread   map[string]float64 `json:"spread"`
	results  []*result
}

// report is the content of the JSON file.
type report struct {
	Seeds    int                `json:"seeds"`
	Length   float64            `json:"length_s"`
	Capacity map[string]float64 `json:"capacity_requests_per_s"`
	Rows     []*row             `json:"rows"`
	Aims     []string           `json:"aims"`
}

func bench(o *options) error {
	if o.Short {
		o.Seeds = min(o.Seeds, 2)
		if o.Scenario == "" {
			o.Scenario = referenceScenario
		}
	}
	out := &report{Seeds: o.Seeds, Length: o.Length.Seconds(), Capacity: map[string]float64{}}
	var jobs []func()
	for _, suite := range suites() {
		w := suite.workload
		if o.Workload != "" && o.Workload != w.name {
			continue
		}
		capacity := suite.capacity(&w)
		out.Capacity[w.name] = capacity
		fmt.Printf("%s: the pool carries %.2f requests/s\n", w.name, capacity)
		for _, sc := range suite.scenarios {
			if o.Scenario != "" && !strings.Contains(o.Scenario, sc.name) {
				continue
			}
			for _, p := range suite.policies {
				if !strings.Contains(p.name, o.Policy) {
					continue
				}
				line := &row{Workload: w.name, Scenario: sc.name, Policy: p.name, results: make([]*result, o.Seeds)}
				out.Rows = append(out.Rows, line)
				for seed := range o.Seeds {
					jobs = append(jobs, func() {
						line.results[seed] = run(w, sc, capacity, o.Length, uint64(seed+1), p)
					})
				}
			}
		}
	}
	runAll(jobs, o.Workers)
	for _, line := range out.Rows {
		line.summarise()
	}
	out.print()
	return out.write(o)
}

// suite is a workload with the scenarios and policies that it is run with.
type suite struct {
	workload  workload
	capacity  func(*workload) float64
	scenarios []scenario
	policies  []policy
}

func suites() []suite {
	even := func(w *workload) float64 { return w.capacity(1) }
	return append([]suite{
		{kegsetu(), even, scenarios(), policies()},
		{bayanihan(), even, scenarios(), policies()},
		{unevenWorkload(), unevenCapacity, unevenScenarios(), unevenPolicies()},
		{scarceWorkload(), even, scarceScenarios(), scarcePolicies()},
	}, hotPrefixSuites()...)
}

func runAll(jobs []func(), workers int) {
	var wait sync.WaitGroup
	todo := make(chan func())
	for range workers {
		wait.Go(func() {
			for job := range todo {
				job()
			}
		})
	}
	for _, job := range jobs {
		todo <- job
	}
	close(todo)
	wait.Wait()
}

func (l *row) summarise() {
	l.Mean, l.Spread = map[string]float64{}, map[string]float64{}
	for _, m := range measures {
		var xs []float64
		for _, r := range l.results {
			xs = append(xs, r.Values[m])
		}
		mean, deviation := meanAndDeviation(xs)
		l.Mean[m], l.Spread[m] = rounded(mean), rounded(deviation)
	}
}

// rounded rounds to three decimals to keep the JSON file readable.
func rounded(x float64) float64 { return math.Round(x*1000) / 1000 }

func meanAndDeviation(xs []float64) (mean, deviation float64) {
	for _, x := range xs {
		mean += x / float64(len(xs))
	}
	for _, x := range xs {
		deviation += (x - mean) * (x - mean)
	}
	if len(xs) > 1 {
		deviation = math.Sqrt(deviation / float64(len(xs)-1))
	}
	return mean, deviation
}

func (r *report) print() {
	last := ""
	for _, l := range r.Rows {
		if head := l.Workload + ", " + l.Scenario; head != last {
			last = head
			fmt.Printf("\n%s\n%-18s", head, "policy")
			for _, m := range measures {
				fmt.Printf(" %19s", m)
			}
			fmt.Println()
		}
		fmt.Printf("%-18s", l.Policy)
		for _, m := range measures {
			fmt.Printf(" %11.2f ±%6.2f", l.Mean[m], l.Spread[m])
		}
		fmt.Println()
	}
	fmt.Println()
	r.addComparisons()
	r.addFloodComparisons()
	r.addUnevenComparisons()
	r.addHotPrefixComparisons()
	r.addPreemptionComparisons()
	for _, aim := range r.Aims {
		fmt.Println(aim)
	}
}

func (r *report) write(o *options) error {
	if o.JSON != "" {
		data, err := json.MarshalIndent(r, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.JSON, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if o.SVG == "" {
		return nil
	}
	f, err := os.Create(o.SVG)
	if err != nil {
		return err
	}
	return errors.Join(r.writePlot(f), f.Close())
}
