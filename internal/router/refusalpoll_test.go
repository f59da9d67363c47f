package router

import (
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/fakes"
)

func refuseStart(*port.GenerationStart) (port.FrameStream, error) { return nil, port.ErrRefused }

func (l *loadPoller) refusalPollOpen(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.refusalPolls[id]
	return known && !last.finished
}

// An engine that is shutting down answers the next dispatch with 503, while the
// host list and its last report still state that it is live. The request moves to
// another engine. Guards against dispatching each further request there in vain
// until the next regular poll; none is due in this test.
func TestRefusalByLeavingEngineTriggersPoll(t *testing.T) {
	b := newFixture(testOptions("r1"), runner("e1"), runner("e2"))
	b.engine.Report.State = port.EndpointLeaving
	b.engine.OnStart = append(b.engine.OnStart, refuseStart, fakes.Whole(3))
	r := &fakeCaller{}
	if refusal := b.generate(r, false); refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	r.checkFrames(t, 0, 3)
	eventually.True(t, "the engine that refused is no longer eligible", func() bool {
		return !b.schedulable("e1")
	})
	if !b.schedulable("e2") {
		t.Fatal("the engine that served the request is no longer eligible either")
	}
}

// A full engine also answers 503. Its report states that it is live, so it must
// stay eligible. Many refusals must cause only one poll per load interval, as each
// poll costs control traffic.
func TestRefusalByFullEngineKeepsItEligible(t *testing.T) {
	o := testOptions("r1")
	b := newFixture(o, runner("e1"))
	now := time.Unix(1000, 0)
	b.Clock = func() time.Time { return now }
	b.engine.Report.State = port.EndpointLive
	for range 5 {
		b.engine.OnStart = append(b.engine.OnStart, refuseStart)
		b.generate(&fakeCaller{}, false)
		eventually.True(t, "the poll after the refusal has finished", func() bool { return b.engine.LoadCalls() == 1 && !b.loadPoller.refusalPollOpen("e1") })
	}
	if !b.schedulable("e1") {
		t.Fatal("a full engine was treated as leaving")
	}
	now = now.Add(o.LoadInterval)
	b.engine.OnStart = append(b.engine.OnStart, refuseStart)
	b.generate(&fakeCaller{}, false)
	eventually.True(t, "a refusal after the load interval triggers another poll", func() bool { return b.engine.LoadCalls() == 2 })
}
