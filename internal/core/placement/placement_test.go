package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

func deployment(model, version string, replicas int) record.Deployment {
	d := record.Deployment{Name: model, Version: 7}
	d.Model, d.Revision.Version = model, version
	d.Placement.Replicas = &replicas
	d.SetDefaults()
	return d
}

// runner returns a live runner with models given as "name@version".
func runner(id string, models ...string) Runner {
	r := Runner{
		Endpoint: port.Endpoint{ID: id, Kind: port.KindRunner, State: port.EndpointLive, FailureDomain: "d-" + id[:1], Incarnation: 1},
		Known:    true,
	}
	r.State = port.RunnerState{EndpointID: id, State: port.EndpointLive, Role: "serve"}
	for _, m := range models {
		name, version, _ := strings.Cut(m, "@")
		r.State.Models = append(r.State.Models, port.ModelVersion{Model: name, Version: version})
	}
	return r
}

// text returns the sorted steps of a plan as "endpoint kind model@version".
func text(p Plan) []string {
	var out []string
	for _, s := range p.Steps {
		line := fmt.Sprintf("%s %s %s@%s", s.Endpoint.ID, s.Order.Kind, s.Order.Model, s.Order.Version)
		out = append(out, strings.TrimSuffix(line, "@"))
	}
	slices.Sort(out)
	return out
}

func TestPlan(t *testing.T) {
	leaving := runner("a2", "m@1")
	leaving.Endpoint.State = port.EndpointLeaving
	loading := runner("a1")
	loading.State.Loading = []port.ModelVersion{{Model: "m", Version: "1"}}
	unknown := runner("b1")
	unknown.Known = false
	unknown.Endpoint.Models = []string{"m"}
	cases := []struct {
		name        string
		deployments []record.Deployment
		runners     []Runner
		want        []string
	}{
		{"nothing to do", []record.Deployment{deployment("m", "1", 1)}, []Runner{runner("a1", "m@1"), runner("b1")}, nil},
		{"a replica is missing", []record.Deployment{deployment("m", "1", 2)}, []Runner{runner("a1", "m@1"), runner("b1")}, []string{"b1 load_model m@1"}},
		{"spread over failure domains", []record.Deployment{deployment("m", "1", 2)}, []Runner{runner("a1", "m@1"), runner("a2"), runner("b1")}, []string{"b1 load_model m@1"}},
		{"runner with fewer models first", []record.Deployment{deployment("m", "1", 1)}, []Runner{runner("a1", "x@1"), runner("b1")}, []string{"b1 load_model m@1"}},
		{"a load in progress counts as a replica", []record.Deployment{deployment("m", "1", 1)}, []Runner{loading, runner("b1")}, nil},
		{"a leaving runner does not count as a replica", []record.Deployment{deployment("m", "1", 1)}, []Runner{leaving, runner("b1")}, []string{"b1 load_model m@1"}},
		{"a runner with unknown state counts as a replica", []record.Deployment{deployment("m", "1", 1)}, []Runner{runner("a1"), unknown}, nil},
		{"a version change keeps the runners", []record.Deployment{deployment("m", "2", 2)}, []Runner{runner("a1", "m@1"), runner("b1", "m@1"), runner("c1")}, []string{"a1 load_model m@2", "b1 load_model m@2"}},
		{"a version change of the last runner adds a replica", []record.Deployment{deployment("m", "2", 1)}, []Runner{runner("a1", "m@1"), runner("b1")}, []string{"a1 load_model m@2", "b1 load_model m@2"}},
		{"the old version is unloaded after the change", []record.Deployment{deployment("m", "2", 1)}, []Runner{runner("a1", "m@1"), runner("b1", "m@2")}, []string{"a1 unload_model m"}},
		{"surplus replica", []record.Deployment{deployment("m", "1", 1)}, []Runner{runner("a1", "m@1"), runner("b1", "m@1")}, []string{"a1 unload_model m"}},
		{"a surplus replica stays until the others are changed", []record.Deployment{deployment("m", "2", 1)}, []Runner{runner("a1", "m@1"), runner("b1", "m@1")}, []string{"b1 load_model m@2"}},
		{"models without a deployment stay", nil, []Runner{runner("a1", "m@1")}, nil},
		{"zero replicas", []record.Deployment{deployment("m", "1", 0)}, []Runner{runner("a1", "m@1")}, []string{"a1 unload_model m"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := text(Make(c.deployments, c.runners))
			if !slices.Equal(got, c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestPlanOfAdaptersAndRole(t *testing.T) {
	d := deployment("m", "1", 1)
	d.Revision.Adapters = []string{"bengal"}
	d.Placement.Role = "prefill"
	r := runner("a1", "m@1", "x@1")
	p := Make([]record.Deployment{d, deployment("x", "1", 1)}, []Runner{r})
	if got := text(p); !slices.Equal(got, []string{"a1 load_adapter m@1"}) || p.Steps[0].Order.Adapter != "bengal" {
		t.Fatalf("got %v", got)
	}
	r.State.Models[0].Adapters = []string{"bengal"}
	p = Make([]record.Deployment{d, deployment("x", "1", 1)}, []Runner{r})
	if got := text(p); !slices.Equal(got, []string{"a1 set_role m@1"}) {
		t.Fatalf("got %v", got)
	}
	if want := []Disruption{{"m", 1}, {"x", 1}}; !slices.Equal(p.Steps[0].Disrupts, want) {
		t.Fatalf("disrupts %v, want %v", p.Steps[0].Disrupts, want)
	}
}

func TestShortfalls(t *testing.T) {
	d := deployment("m", "1", 2)
	d.Placement.FailureDomains = []string{"d-a"}
	newer := deployment("x", "2", 1)
	newer.Name, newer.Version = "x-new", 9
	p := Make([]record.Deployment{d, deployment("x", "1", 1), newer}, []Runner{runner("a1"), runner("b1")})
	if len(p.Shortfalls) != 2 {
		t.Fatalf("got shortfalls %+v, want 2", p.Shortfalls)
	}
	for _, s := range p.Steps {
		if s.Order.Model == "x" && s.Order.Version != "2" {
			t.Fatal("the older record was used")
		}
	}
}

func TestLedger(t *testing.T) {
	load := Step{Endpoint: port.Endpoint{ID: "a1", Incarnation: 1}, ReadsWeights: true}
	other := Step{Endpoint: port.Endpoint{ID: "b1", Incarnation: 1}, ReadsWeights: true}
	disrupt := Step{Endpoint: port.Endpoint{ID: "c1", Incarnation: 1}, Disrupts: []Disruption{{"m", 1}}}
	none := func(string) int { return 0 }
	one := func(string) int { return 1 }
	l := &Ledger{}
	if r := l.Acquire(&load, 5, Budget{MaxLoads: 1}, none); r != "" {
		t.Fatal(r)
	}
	if r := l.Acquire(&load, 6, Budget{MaxLoads: 1}, none); r != "" {
		t.Fatalf("refused because of the runner's own permit: %s", r)
	}
	if r := l.Acquire(&other, 5, Budget{MaxLoads: 1}, none); !strings.Contains(r, "budget") {
		t.Fatalf("got %q", r)
	}
	if r := l.Acquire(&disrupt, 5, Budget{MaxLoads: 1}, none); !strings.Contains(r, "last ready runner") {
		t.Fatalf("got %q", r)
	}
	if r := l.Acquire(&disrupt, 5, Budget{MaxLoads: 1}, one); r != "" || !l.Disrupted("c1", "m") {
		t.Fatalf("got %q", r)
	}
	value, err := l.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeLedger(value)
	if err != nil || len(decoded.Permits) != 2 {
		t.Fatalf("got %+v %v", decoded, err)
	}
	if !decoded.Prune(func(id string) (uint64, bool) { return 2, id == "a1" }) || len(decoded.Permits) != 0 {
		t.Fatalf("permits of removed or restarted runners were kept: %+v", decoded.Permits)
	}
}

// FuzzDecodeLedger checks that no bytes from the platform cause a panic.
func FuzzDecodeLedger(f *testing.F) {
	f.Add([]byte(`{"format_version":1,"permits":[{"endpoint":"a1","incarnation":2,"loads":true,"models":["m"],"fence":9}]}`))
	f.Fuzz(func(_ *testing.T, raw []byte) { _, _ = DecodeLedger(raw) })
}

// For any deployments and runners, repeated passes that respect the ledger reach the
// desired state, and no rollout disrupts the last runner that serves a deployed
// model.
func TestConvergesWithoutDisruptingTheLastRunner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runners := drawRunners(t)
		deployments := drawDeployments(t, len(runners))
		budget := Budget{MaxLoads: rapid.IntRange(1, 3).Draw(t, "budget")}
		for pass := 0; ; pass++ {
			if pass == 60 {
				t.Fatalf("not converged after 60 passes, remaining steps: %v", text(Make(deployments, runners)))
			}
			before := servingCounts(deployments, runners)
			if !runPass(t, deployments, runners, budget) {
				break
			}
			for model, n := range servingCounts(deployments, runners) {
				if before[model] > 0 && n == 0 {
					t.Fatalf("no runner serves %s after the pass", model)
				}
			}
		}
		for _, d := range deployments {
			if n := upToDate(&d, runners); n != *d.Placement.Replicas {
				t.Fatalf("%d of %d replicas of %s have the right version", n, *d.Placement.Replicas, d.Model)
			}
		}
	})
}

func drawRunners(t *rapid.T) []Runner {
	var runners []Runner
	for i := range rapid.IntRange(2, 6).Draw(t, "runners") {
		var models []string
		for _, m := range []string{"m", "n"} {
			if v := rapid.IntRange(0, 2).Draw(t, "version of "+m); v > 0 {
				models = append(models, fmt.Sprintf("%s@%d", m, v))
			}
		}
		runners = append(runners, runner(fmt.Sprintf("%c%d", 'a'+i%3, i), models...))
	}
	return runners
}

func drawDeployments(t *rapid.T, runners int) []record.Deployment {
	var out []record.Deployment
	for _, m := range []string{"m", "n"} {
		d := deployment(m, "2", rapid.IntRange(1, runners-1).Draw(t, "replicas of "+m))
		n := rapid.IntRange(1, 3).Draw(t, "max unavailable")
		d.Rollout.MaxUnavailable = &n
		out = append(out, d)
	}
	return out
}

// runPass executes the steps of the plan that the ledger permits, and reports whether
// there were any. All loads finish at the end of the pass.
func runPass(t *rapid.T, deployments []record.Deployment, runners []Runner, b Budget) bool {
	ledger := &Ledger{}
	executed := []Step{}
	for _, s := range Make(deployments, runners).Steps {
		serving := func(model string) int {
			n := 0
			for i := range runners {
				id := runners[i].Endpoint.ID
				if id != s.Endpoint.ID && runners[i].Serves(model) && !ledger.Disrupted(id, model) {
					n++
				}
			}
			return n
		}
		if ledger.Acquire(&s, 1, b, serving) == "" {
			executed = append(executed, s)
		}
	}
	// Disrupted models are not served while the steps are in progress.
	for i := range deployments {
		model := deployments[i].Model
		n := 0
		for j := range runners {
			if runners[j].Serves(model) && !ledger.Disrupted(runners[j].Endpoint.ID, model) {
				n++
			}
		}
		if n == 0 && servingCounts(deployments, runners)[model] > 0 {
			t.Fatalf("no runner serves %s during the pass", model)
		}
	}
	for _, s := range executed {
		execute(&s, runners)
	}
	return len(executed) > 0
}

func execute(s *Step, runners []Runner) {
	for i := range runners {
		r := &runners[i]
		if r.Endpoint.ID != s.Endpoint.ID {
			continue
		}
		r.State.Models = slices.DeleteFunc(slices.Clone(r.State.Models), func(m port.ModelVersion) bool { return m.Model == s.Order.Model })
		if s.Order.Kind == port.OrderLoadModel {
			r.State.Models = append(r.State.Models, port.ModelVersion{Model: s.Order.Model, Version: s.Order.Version})
		}
	}
}

func servingCounts(deployments []record.Deployment, runners []Runner) map[string]int {
	n := map[string]int{}
	for i := range deployments {
		model := deployments[i].Model
		n[model] = 0
		for j := range runners {
			if runners[j].Serves(model) {
				n[model]++
			}
		}
	}
	return n
}

func upToDate(d *record.Deployment, runners []Runner) int {
	n := 0
	for i := range runners {
		if m, ready := runners[i].readyVersion(d.Model); ready && m.Version == d.Revision.Version {
			n++
		}
	}
	return n
}
