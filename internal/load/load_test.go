package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
)

func workload() *Workload {
	w := WorkloadDefaults()
	w.Name = "trial"
	w.Duration = 10 * time.Second
	w.ArrivalsPerSecond = 50
	w.Organisations = []Organisation{{Name: "a", Key: "ka", Weight: 3}, {Name: "b", Key: "kb", Weight: 1}}
	w.Classes = []Class{
		{Name: "report", Weight: 1, Model: "m", PromptTokens: 100, OutputTokens: 400, OutputSigma: 1},
		{Name: "lookup", Weight: 3, Model: "m", PromptTokens: 20, OutputTokens: 10},
	}
	return &w
}

func TestPlanIsDeterministicAndFollowsWeights(t *testing.T) {
	w := workload()
	plan := w.Plan()
	if !reflect.DeepEqual(plan, w.Plan()) {
		t.Fatal("two plans with the same seed differ")
	}
	w.Seed++
	if reflect.DeepEqual(plan, w.Plan()) {
		t.Fatal("plans with different seeds are equal")
	}
	if n := len(plan); n < 400 || n > 600 {
		t.Fatalf("%d arrivals, want about 500", n)
	}
	lookups := 0
	for i, a := range plan {
		if i > 0 && a.At < plan[i-1].At {
			t.Fatal("arrivals are not in order")
		}
		lookups += a.Class
	}
	if share := float64(lookups) / float64(len(plan)); share < 0.65 || share > 0.85 {
		t.Fatalf("share of lookups is %v, want about 0.75", share)
	}
}

func TestBurstsRaiseTheRate(t *testing.T) {
	w := workload()
	w.Burst = Burst{Factor: 5, Period: 2 * time.Second, Length: 500 * time.Millisecond}
	in, out := 0, 0
	for _, a := range w.Plan() {
		if a.At%w.Burst.Period < w.Burst.Length {
			in++
		} else {
			out++
		}
	}
	// Bursts take a quarter of the time and have five times the rate.
	if ratio := 3 * float64(in) / float64(out); ratio < 3.5 || ratio > 6.5 {
		t.Fatalf("rate in bursts is %.1f times the base rate, want about 5", ratio)
	}
}

func TestPromptLengthAndDirective(t *testing.T) {
	a := Arrival{PromptTokens: 100, OutputTokens: 7}
	class := &Class{Name: "report", SharedPrefix: 0.5}
	one := a.prompt(class, 1, 4, engine.LengthDirective(7))
	two := a.prompt(class, 2, 4, engine.LengthDirective(7))
	if len(one) != 400 || one == two || one[:200] != two[:200] || !strings.Contains(one, "[[tokens=7]]") {
		t.Fatalf("prompt of %d bytes: %q", len(one), one)
	}
}

// fakeRouter starts a router that answers requests completely, except each
// every-th request, which bad answers.
func fakeRouter(t *testing.T, every int, bad http.HandlerFunc) string {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	mux.HandleFunc("GET /v1/entry", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"addresses":[%q],"valid_for_ms":60000}`, address)
	})
	count := make(chan int, 1)
	count <- 0
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		n := <-count + 1
		count <- n
		if n%every == 0 {
			bad(w, r)
			return
		}
		var request caller.Completion
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			t.Error(err)
		}
		tokens := 0
		_, after, _ := strings.Cut(request.Prompt, "[[tokens=")
		_, _ = fmt.Sscanf(after, "%d", &tokens)
		for i := range tokens {
			fmt.Fprintf(w, "id: t:%d\ndata: {\"index\":%d,\"text\":%q}\n\n", i, i, engine.TokenText("g", i))
		}
		fmt.Fprintf(w, "id: t:%d\ndata: {\"index\":%d,\"finish_reason\":\"stop\",\"token_count\":%d}\n\n", tokens, tokens, tokens)
	})
	return address
}

func TestRunCountsOutcomes(t *testing.T) {
	router := fakeRouter(t, 5, func(w http.ResponseWriter, _ *http.Request) {
		// The answer has no tokens, but token_count says 1.
		fmt.Fprint(w, "id: t:0\ndata: {\"index\":0,\"finish_reason\":\"stop\",\"token_count\":1}\n\n")
	})
	w := workload()
	w.Duration = time.Second
	report := Run(context.Background(), w, Options{Routers: []string{router}, CheckText: true, Drain: 30 * time.Second})
	all := report.Class("all")
	if all.Requests == 0 || all.Outcomes[OutcomeBroken] != all.Requests/5 {
		t.Fatalf("%d requests: %v %v", all.Requests, all.Outcomes, all.Reasons)
	}
	if all.Outcomes[OutcomeDone] != all.Requests-all.Requests/5 || report.AllIntact() {
		t.Fatalf("%v %v", all.Outcomes, all.Reasons)
	}
	var out bytes.Buffer
	if err := report.WriteTable(&out); err != nil || !strings.Contains(out.String(), "lookup") {
		t.Fatalf("%v %s", err, out.String())
	}
}

func TestStallsAreCountedPastTheThreshold(t *testing.T) {
	r := newReport(workload())
	r.add("lookup", &sample{outcome: OutcomeDone, gaps: []time.Duration{10 * time.Millisecond, 1500 * time.Millisecond, time.Second}})
	if c := r.Class("lookup"); c.Stalls != 1 || c.StallMillis != 500 {
		t.Fatalf("%+v", c)
	}
}
