package decisions

import (
	"bytes"
	"encoding/json"
	"io"
	"runtime"
	"strconv"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/jsonlog"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

func TestExplainKeepsOrderAndEvictsOldest(t *testing.T) {
	const perShard = 4
	s := New(jsonlog.New(io.Discard, "test", "t-1", "info"), requestShards*perShard)
	for i := range perShard + 3 {
		s.Record(&port.DecisionRecord{Subject: "request", SubjectID: "r", Attempt: i})
	}
	got := s.Explain("request", "r")
	if len(got) != perShard {
		t.Fatalf("kept %d decisions, want %d", len(got), perShard)
	}
	for i, d := range got {
		if d.Attempt != i+3 {
			t.Fatalf("decision %d is of attempt %d, want %d", i, d.Attempt, i+3)
		}
	}
	if other := s.Explain("endpoint", "r"); len(other) != 0 {
		t.Fatalf("found %d decisions on another subject, want none", len(other))
	}
}

// Guards against many decisions on requests evicting the decision that refused
// a configuration, which an operator may query later.
func TestRequestsDoNotEvictConfigurations(t *testing.T) {
	s := New(jsonlog.New(io.Discard, "test", "t-1", "info"), requestShards)
	s.Record(&port.DecisionRecord{Subject: "configuration", SubjectID: "c", Verdict: "refused"})
	for i := range 10 * requestShards {
		s.Record(&port.DecisionRecord{Subject: "request", SubjectID: strconv.Itoa(i)})
	}
	if got := s.Explain("configuration", "c"); len(got) != 1 {
		t.Fatalf("found %d decisions on the configuration, want 1", len(got))
	}
}

func TestRecordWritesOneLine(t *testing.T) {
	var out bytes.Buffer
	s := New(jsonlog.New(&out, "dragonfly-router", "r-1", "info"), 64)
	s.Record(&port.DecisionRecord{
		Subject: "request", SubjectID: "id", Verdict: "place", Reason: "lowest_score",
		Candidates: []port.CandidateScore{{Endpoint: "runner-1", Score: 1.5}},
	})
	var line struct {
		Event      string
		DecisionID string `json:"decision_id"`
		Reason     string
		Candidates []port.CandidateScore
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("%v in %q", err, out.String())
	}
	if line.Event != "decision" || line.DecisionID == "" || line.Reason != "lowest_score" || len(line.Candidates) != 1 {
		t.Fatalf("incomplete line: %s", out.String())
	}
}

func BenchmarkRecord(b *testing.B) {
	s := New(jsonlog.New(io.Discard, "test", "t-1", "info"), DefaultCapacity)
	candidates := make([]port.CandidateScore, 8)
	for i := range b.N {
		s.Record(&port.DecisionRecord{ID: "d", Subject: "request", SubjectID: strconv.Itoa(i), Candidates: candidates})
	}
}

// BenchmarkMemory reports the heap bytes per stored decision with eight
// candidates, for docs/CAPACITY.md.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1024, 2048, 4096, 8192} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				before := liveHeap()
				s := New(jsonlog.New(io.Discard, "test", "t-1", "info"), n)
				for i := range 2 * n {
					s.Record(&port.DecisionRecord{
						Subject: "request", SubjectID: "router-1." + NewID(), Organisation: "brewery", Model: "reconcile-13b",
						Verdict: "place", Reason: "best_score", Endpoint: "runner-" + strconv.Itoa(i%1900),
						Candidates: make([]port.CandidateScore, 8),
					})
				}
				b.ReportMetric(float64(liveHeap()-before)/float64(n), "B/decision")
				runtime.KeepAlive(s)
			}
		})
	}
}

func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
