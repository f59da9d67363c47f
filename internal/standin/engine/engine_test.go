package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/enginemodel"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/weights"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

const model = "reconcile-7b"

func serve(t *testing.T, change func(*Options)) (*Engine, string) {
	t.Helper()
	config := enginemodel.DefaultConfig()
	config.StepBase = 500 * time.Microsecond
	config.StepPerJob = 0
	config.PrefillPerToken = 0
	o := Options{
		ID: "runner-1", Incarnation: 3, Model: config, Retention: time.Minute,
		Models: []port.ModelVersion{{Model: model, Version: "1"}},
	}
	if change != nil {
		change(&o)
	}
	e := New(o)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go e.Run(ctx)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return e, server.URL
}

func post(t *testing.T, url, generation string, tokens int) *http.Response {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"prompt":"count kegs %s","stream":true}`, model, LengthDirective(tokens))
	r, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(HeaderGeneration, generation)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { res.Body.Close() })
	return res
}

func get(t *testing.T, url string) *http.Response {
	t.Helper()
	res, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { res.Body.Close() })
	return res
}

// frames reads a stream to its end. broken is true if the connection failed.
func frames(t *testing.T, res *http.Response) (got []port.Frame, broken bool) {
	t.Helper()
	if res.StatusCode != http.StatusOK {
		t.Fatalf("status %d", res.StatusCode)
	}
	for event, err := range sse.Read(res.Body, nil) {
		if err != nil {
			return got, true
		}
		var f port.Frame
		if err := json.Unmarshal([]byte(event.Data), &f); err != nil {
			t.Fatal(err)
		}
		if event.LastEventID != fmt.Sprintf("%s:%d", f.Generation, f.Index) {
			t.Fatalf("event id %q of frame %+v", event.LastEventID, f)
		}
		got = append(got, f)
	}
	return got, false
}

func text(got []port.Frame) string {
	var b strings.Builder
	for _, f := range got {
		b.WriteString(f.Text)
	}
	return b.String()
}

// checkComplete fails the test unless got has all frames from index from to the
// final frame, in order.
func checkComplete(t *testing.T, got []port.Frame, from, total int) {
	t.Helper()
	if len(got) != total-from+1 {
		t.Fatalf("%d frames, want %d", len(got), total-from+1)
	}
	for i, f := range got[:len(got)-1] {
		if f.Index != from+i || f.Final() || f.Text != TokenText(f.Generation, f.Index) {
			t.Fatalf("frame %d: %+v", i, f)
		}
	}
	last := got[len(got)-1]
	if !last.Final() || last.Index != total || last.TokenCount != total {
		t.Fatalf("final frame %+v", last)
	}
}

func status(t *testing.T, url, generation string) StatusReply {
	t.Helper()
	var reply StatusReply
	if err := json.NewDecoder(get(t, url+"/v1/generations/"+generation).Body).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

func cancel(t *testing.T, url, generation string) StatusReply {
	t.Helper()
	r, err := http.NewRequest(http.MethodDelete, url+"/v1/generations/"+generation, nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var reply StatusReply
	if err := json.NewDecoder(res.Body).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

func TestStreamHasAllFrames(t *testing.T) {
	_, url := serve(t, nil)
	got, _ := frames(t, post(t, url, "g1", 40))
	checkComplete(t, got, 0, 40)
	if got[0].Load == nil || got[40].Load == nil || got[1].Load != nil {
		t.Fatal("only the first and the final frame must have a load report")
	}
	if n, err := CheckText(text(got)); err != nil || n != 40 {
		t.Fatalf("CheckText: %d, %v", n, err)
	}
}

// If the router's connection closes during a stream, the engine continues the
// generation. The remaining frames can be read from the next index, also after
// the generation has finished.
func TestClosedConnectionDoesNotEndTheGeneration(t *testing.T) {
	_, url := serve(t, nil)
	post(t, url, "g1", 200).Body.Close()
	got, _ := frames(t, get(t, url+"/v1/generations/g1/events?from=7"))
	checkComplete(t, got, 7, 200)
	got, _ = frames(t, get(t, url+"/v1/generations/g1/events?from=200"))
	checkComplete(t, got, 200, 200)
	if s := status(t, url, "g1"); s.Status != port.GenerationFinished || s.Tokens != 200 {
		t.Fatalf("status %+v", s)
	}
}

func TestGenerationIDCannotBeReused(t *testing.T) {
	_, url := serve(t, nil)
	frames(t, post(t, url, "g1", 3))
	if res := post(t, url, "g1", 3); res.StatusCode != http.StatusConflict {
		t.Fatalf("start with a used id: status %d", res.StatusCode)
	}
	if s := cancel(t, url, "g2"); s.Status != port.GenerationUnknown {
		t.Fatalf("cancel of an unknown id: status before %+v", s)
	}
	if res := post(t, url, "g2", 3); res.StatusCode != http.StatusConflict {
		t.Fatalf("start with a barred id: status %d", res.StatusCode)
	}
	if res := get(t, url+"/v1/generations/g2/events?from=0"); res.StatusCode != http.StatusNotFound {
		t.Fatalf("events of a barred id: status %d", res.StatusCode)
	}
}

func TestCancelEndsTheStreamWithoutAFinalFrame(t *testing.T) {
	e, url := serve(t, nil)
	res := post(t, url, "g1", 20_000)
	eventually.True(t, "more than 5 tokens of g1", func() bool { return status(t, url, "g1").Tokens > 5 })
	if s := cancel(t, url, "g1"); s.Status != port.GenerationRunning {
		t.Fatalf("status before %+v", s)
	}
	got, _ := frames(t, res)
	if len(got) > 0 && got[len(got)-1].Final() {
		t.Fatal("the stream of a cancelled generation has a final frame")
	}
	if s := status(t, url, "g1"); s.Status != port.GenerationCancelled {
		t.Fatalf("status %+v", s)
	}
	eventually.True(t, "a load report without used blocks", func() bool { return e.load().BlocksUsed == 0 })
}

func TestFrameFaults(t *testing.T) {
	const total = 12
	cases := []struct {
		name   string
		faults Faults
		check  func(t *testing.T, got []port.Frame, broken bool)
	}{
		{"cut", Faults{CutAfterTokens: 5}, func(t *testing.T, got []port.Frame, broken bool) {
			if len(got) != 5 || !broken {
				t.Fatalf("%d frames, broken %v", len(got), broken)
			}
		}},
		{"early close", Faults{EarlyClose: true}, func(t *testing.T, got []port.Frame, broken bool) {
			if len(got) != total || broken {
				t.Fatalf("%d frames, broken %v", len(got), broken)
			}
		}},
		{"drop", Faults{DropFrame: 4}, func(t *testing.T, got []port.Frame, _ bool) {
			if len(got) != total || got[4].Index != 5 {
				t.Fatalf("%d frames, the fifth has index %d", len(got), got[4].Index)
			}
		}},
		{"duplicate", Faults{DuplicateFrame: 4}, func(t *testing.T, got []port.Frame, _ bool) {
			if len(got) != total+2 || got[5].Index != 4 {
				t.Fatalf("%d frames, the sixth has index %d", len(got), got[5].Index)
			}
		}},
		{"cross", Faults{CrossGeneration: true}, func(t *testing.T, got []port.Frame, _ bool) {
			if len(got) != total+1+total/foreignFrameInterval || got[1].Generation == got[0].Generation {
				t.Fatalf("%d frames, the second is of generation %s", len(got), got[1].Generation)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e, url := serve(t, nil)
			e.faults.Set(c.faults)
			got, broken := frames(t, post(t, url, "g1", total))
			c.check(t, got, broken)
			got, _ = frames(t, get(t, url+"/v1/generations/g1/events?from=3"))
			checkComplete(t, got, 3, total)
		})
	}
}

func TestStallDelaysFramesButNotGeneration(t *testing.T) {
	e, url := serve(t, nil)
	e.faults.Set(Faults{Stall: true})
	res := post(t, url, "g1", 20)
	eventually.True(t, "the end of g1", func() bool { return status(t, url, "g1").Status == port.GenerationFinished })
	e.faults.Set(Faults{})
	got, _ := frames(t, res)
	checkComplete(t, got, 0, 20)
}

func TestRefuseAndLeavingRejectStarts(t *testing.T) {
	for name, faults := range map[string]Faults{"refuse": {Refuse: true}, "leaving": {Leaving: true}} {
		e, url := serve(t, nil)
		e.faults.Set(faults)
		if res := post(t, url, "g1", 3); res.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d", name, res.StatusCode)
		}
		if s := status(t, url, "g1"); s.Status != port.GenerationUnknown {
			t.Errorf("%s: refused generation has status %s", name, s.Status)
		}
	}
}

func TestFullQueueRejectsStart(t *testing.T) {
	_, url := serve(t, func(o *Options) {
		o.Model.MaxBatch = 1
		o.Model.MaxWaiting = 1
	})
	post(t, url, "g1", 20_000)
	eventually.True(t, "the start of g1", func() bool { return status(t, url, "g1").Status == port.GenerationRunning })
	post(t, url, "g2", 3)
	if res := post(t, url, "g3", 3); res.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("status %d", res.StatusCode)
	}
}

func TestReclaimSetsLeavingAndCallsReclaimed(t *testing.T) {
	ended := make(chan struct{})
	e, url := serve(t, func(o *Options) { o.OnReclaim = func() { close(ended) } })
	res, err := http.Post(url+"/standin/reclaim", "application/json", strings.NewReader(`{"notice_ms":1}`))
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if e.load().State != port.EndpointLeaving {
		t.Fatal("the load report of a reclaimed engine does not have the state leaving")
	}
	<-ended
}

func TestOutputLengthIsLimitedByRequestAndCache(t *testing.T) {
	e := New(Options{Model: enginemodel.Config{BlocksTotal: 10, BlockTokens: 16}})
	cases := []struct {
		max, tokens, want int
		reason            string
	}{{0, 50, 50, "stop"}, {20, 50, 20, "length"}, {50, 50, 50, "stop"}, {0, 5000, 156, "length"}}
	for _, c := range cases {
		g := e.newGeneration("g", &startRequest{Prompt: LengthDirective(c.tokens), MaxTokens: c.max})
		if g.total != c.want || g.finishReason != c.reason {
			t.Errorf("limit %d, length %d: got length %d and finish reason %s", c.max, c.tokens, g.total, g.finishReason)
		}
	}
}

func TestRandomLengthsAreReproducibleAndHeavyTailed(t *testing.T) {
	sum, longest := 0, 0
	for i := range 2000 {
		n := outputTokens(fmt.Sprint(i), 1)
		if n != outputTokens(fmt.Sprint(i), 1) {
			t.Fatal("two random lengths of the same seed and prompt differ")
		}
		sum += n
		longest = max(longest, n)
	}
	if mean := sum / 2000; longest < 10*mean {
		t.Fatalf("mean length %d, longest %d: not heavy-tailed", mean, longest)
	}
}

func TestPrefixHashesIdentifyPrefixes(t *testing.T) {
	a := PrefixHashes(strings.Repeat("a", 200), 16)
	b := PrefixHashes(strings.Repeat("a", 128)+strings.Repeat("b", 72), 16)
	if len(a) != 3 || len(b) != 3 || a[0] != b[0] || a[1] != b[1] || a[2] == b[2] || a[0] == a[1] {
		t.Fatalf("hashes of prompts with two common blocks: %v and %v", a, b)
	}
}

func TestCacheEventsAreDelayedAndHaveGaps(t *testing.T) {
	e, url := serve(t, func(o *Options) {
		o.CacheEventGap = 2
		o.CacheEventLag = 100 * time.Millisecond
	})
	prompt := strings.Repeat("k", 64*6) + LengthDirective(2)
	if _, err := e.start(time.Now(), "g1", &startRequest{Model: model, Prompt: prompt}); err != nil {
		t.Fatal(err)
	}
	var reply cacheEventsReply
	eventually.True(t, "all cache events", func() bool {
		raw, _ := io.ReadAll(get(t, url+"/v1/cache-events?after=0").Body)
		return json.Unmarshal(raw, &reply) == nil && reply.Next == 6
	})
	if len(reply.Events) != 3 || reply.Events[1].Seq != 3 || reply.Events[0].Hash != PrefixHashes(prompt, 16)[0] {
		t.Fatalf("events %+v", reply)
	}
}

func TestSamplerReturnsDelayedSamples(t *testing.T) {
	var s sampler
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for i := range 20 {
		s.add(sample{taken: at(i * 20), cacheSeq: uint64(i)}, 100*time.Millisecond)
	}
	if got := s.delayed(at(380), 100*time.Millisecond).cacheSeq; got != 14 {
		t.Fatalf("delayed sample %d, want 14", got)
	}
	if got := len(s.samples); got > 7 {
		t.Fatalf("%d samples stored, want at most 7", got)
	}
}

func sendOrder(t *testing.T, url string, o port.Order) (int, port.RunnerState) {
	t.Helper()
	raw, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.Post(url+"/v1/orders", "application/json", bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var state port.RunnerState
	if err := json.NewDecoder(res.Body).Decode(&state); err != nil && !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	return res.StatusCode, state
}

func TestOrdersWithAndWithoutFencing(t *testing.T) {
	for _, fences := range []bool{true, false} {
		_, url := serve(t, func(o *Options) { o.FencesOrders = fences })
		sendOrder(t, url, port.Order{ID: "1", Fence: 5, Kind: port.OrderSetRole, Role: "long"})
		code, _ := sendOrder(t, url, port.Order{ID: "2", Fence: 4, Kind: port.OrderSetRole, Role: "short"})
		if want := map[bool]int{true: http.StatusConflict, false: http.StatusOK}[fences]; code != want {
			t.Errorf("fences %v: order with an old fencing number: status %d", fences, code)
		}
		code, state := sendOrder(t, url, port.Order{ID: "3", Fence: 5, Kind: port.OrderLoadAdapter, Model: model, Adapter: "bengal"})
		if code != http.StatusOK || state.LastFence != 5 || len(state.Models[0].Adapters) != 1 {
			t.Errorf("fences %v: adapter order: status %d, state %+v", fences, code, state)
		}
		var applied AppliedOrders
		if err := json.NewDecoder(get(t, url+"/standin/orders").Body).Decode(&applied); err != nil {
			t.Fatal(err)
		}
		if want := map[bool]int{true: 2, false: 3}[fences]; len(applied.Orders) != want {
			t.Errorf("fences %v: %d orders applied, want %d", fences, len(applied.Orders), want)
		}
	}
}

// A model that an order loads is loading, not ready, until its weights have been
// read at the store's rate; until then its generations are refused. Sending the
// order twice must not read the weights twice.
func TestLoadOrderReadsWeightsFromStore(t *testing.T) {
	store := weights.New(weights.Options{BytesPerSecond: 8 << 20, ModelBytes: 1 << 20})
	server := httptest.NewServer(store)
	defer server.Close()
	_, url := serve(t, func(o *Options) { o.WeightsURL = server.URL })
	o := port.Order{ID: "1", Kind: port.OrderLoadModel, Model: "triage-3b", Version: "2"}
	code, state := sendOrder(t, url, o)
	if code != http.StatusOK || len(state.Loading) != 1 || len(state.Models) != 1 {
		t.Fatalf("load order: status %d, state %+v", code, state)
	}
	sendOrder(t, url, o)
	eventually.True(t, "the end of loading", func() bool {
		var state port.RunnerState
		err := json.NewDecoder(get(t, url+"/v1/state").Body).Decode(&state)
		return err == nil && len(state.Loading) == 0 && len(state.Models) == 2
	})
	if got := store.Stats().Reads; got != 1 {
		t.Fatalf("%d reads of the weights for an order sent twice, want 1", got)
	}
}

func TestOldGenerationsAreEvicted(t *testing.T) {
	e, url := serve(t, func(o *Options) { o.Retention = time.Nanosecond })
	frames(t, post(t, url, "g1", 3))
	frames(t, post(t, url, "g2", 3))
	eventually.True(t, "the eviction of g1", func() bool { return e.Stats().Held <= 1 })
	if s := status(t, url, "g1"); s.Status != port.GenerationUnknown {
		t.Fatalf("status %+v", s)
	}
}
