package service

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// client opens a new connection for each call. If a reused connection closes,
// net/http by itself retries a request that has an Idempotency-Key, so a call
// that was cut off before its run would run after all.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func post(t *testing.T, url, key string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+"/ledger/entries", strings.NewReader("abc"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set("Request-Id", "r-1")
	return client.Do(r)
}

func runs(t *testing.T, url string) map[string]int {
	t.Helper()
	res, err := http.Get(url + "/standin/runs")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var got map[string]int
	if err := json.NewDecoder(res.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	return got
}

func TestCountsRunsPerKey(t *testing.T) {
	server := httptest.NewServer(New(Options{ID: "depot-1", Concurrency: 2}))
	defer server.Close()
	for _, key := range []string{"k1", "k2", "k1"} {
		res, err := post(t, server.URL, key)
		if err != nil {
			t.Fatal(err)
		}
		raw, _ := io.ReadAll(res.Body)
		res.Body.Close()
		var reply Reply
		if err := json.Unmarshal(raw, &reply); err != nil {
			t.Fatal(err)
		}
		if reply.Key != key || reply.BodyBytes != 3 || reply.RequestID != "r-1" || reply.Path != "/ledger/entries" {
			t.Fatalf("unexpected reply %+v", reply)
		}
	}
	if got := runs(t, server.URL); got["k1"] != 2 || got["k2"] != 1 {
		t.Fatalf("runs %v", got)
	}
}

// For the caller, a connection that closes before the reply looks the same as
// one that closes before the run. Only the number of runs differs.
func TestCloseBeforeReplyAndBeforeRun(t *testing.T) {
	s := New(Options{ID: "depot-1", Concurrency: 2})
	server := httptest.NewServer(s)
	defer server.Close()
	for _, c := range []struct {
		faults Faults
		key    string
		runs   int
	}{
		{Faults{CloseBeforeReply: 1}, "ran", 1},
		{Faults{CloseBeforeRun: 1}, "cut", 0},
	} {
		s.faults.Set(c.faults)
		if res, err := post(t, server.URL, c.key); err == nil {
			t.Fatalf("%s: got status %d, want a closed connection", c.key, res.StatusCode)
		}
		if got := runs(t, server.URL)[c.key]; got != c.runs {
			t.Fatalf("%s: %d runs, want %d", c.key, got, c.runs)
		}
	}
}

func TestRefusedCallDoesNotRun(t *testing.T) {
	s := New(Options{ID: "depot-1", Concurrency: 2})
	server := httptest.NewServer(s)
	defer server.Close()
	s.faults.Set(Faults{Refuse: true})
	res, err := post(t, server.URL, "k")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("refused call: response %v, error %v, want status 503", res, err)
	}
	res.Body.Close()
	if got := runs(t, server.URL); len(got) != 0 {
		t.Fatalf("runs %v", got)
	}
}

func TestLoadReportIsDelayed(t *testing.T) {
	s := New(Options{ID: "depot-1", ReportLag: time.Second})
	start := time.UnixMilli(1_000_000)
	s.load(start)
	s.updateStats(func(st *Stats) { st.Running = 7 })
	if got := s.load(start.Add(999 * time.Millisecond)); got.Running != 0 {
		t.Fatalf("the report was renewed before it was as old as its lag: %+v", got)
	}
	if got := s.load(start.Add(time.Second)); got.Running != 7 {
		t.Fatalf("the report was not renewed when it was as old as its lag: %+v", got)
	}
}
