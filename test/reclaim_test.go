package test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

// Reclaims an engine with one second of notice. Short requests must complete
// throughout; the long report on the engine must end with a problem.
func TestReclaimedEngine(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	before := allEngineStats(t, s)
	c := s.Caller(procs.DemoOrganisation)
	long := openStream(t, c, []string{s.Routers[0].Address}, "long report", 2000)
	long.waitTokens(5)
	victim := s.Engines[waitEngineWithGeneration(t, s, before)]
	reply, err := procs.Call(testContext(t), http.MethodPost, victim.URL()+"/standin/reclaim", nil, engine.ReclaimRequest{NoticeMillis: 1000})
	if err != nil || reply.Status != http.StatusOK {
		t.Fatalf("reclaim: %v", err)
	}
	for i := 0; victim.Running(); i++ {
		sendBatch(t, s, fmt.Sprintf("while reclaimed %d", i))
	}
	sendBatch(t, s, "after the reclaim")
	<-long.done
	if long.err != nil || long.answer.Problem == nil || long.answer.FinishReason != "" {
		t.Fatalf("ended with %v, problem %v, finish %q", long.err, long.answer.Problem, long.answer.FinishReason)
	}
}
