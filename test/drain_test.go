package test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

const openStreams = 6

func openMany(t *testing.T, c *caller.Client, addresses []string, tokens int) []*stream {
	t.Helper()
	var streams []*stream
	for i := range openStreams {
		streams = append(streams, openStream(t, c, addresses, fmt.Sprintf("report %d", i), tokens))
	}
	for _, st := range streams {
		st.waitTokens(3)
	}
	return streams
}

func waitDelisted(t *testing.T, s *procs.System, source, delisted *procs.Daemon) {
	t.Helper()
	c := s.Caller(procs.DemoOrganisation)
	c.Seeds = []string{source.Address}
	procs.Until(t, "the entry no longer names the router", func() bool {
		entry, err := c.Entry(testContext(t), procs.DemoModel)
		return err == nil && !slices.Contains(entry.Addresses, delisted.Address)
	})
}

// Stops a router gracefully while it streams long reports. No stream may be cut
// or moved, the entry must omit the router while it still streams, a caller
// that uses its old address must get an answer or be sent to another router,
// and the process must exit by itself.
func TestGracefulStopCompletesStreams(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, func(l *procs.Layout) { l.DrainTimeout = procs.Deadline })
	const tokens = 300
	leaving := s.Routers[0]
	c := s.Caller(procs.DemoOrganisation)
	streams := openMany(t, c, []string{leaving.Address, s.Routers[1].Address}, tokens)
	if err := leaving.Terminate(); err != nil {
		t.Fatal(err)
	}
	waitDelisted(t, s, s.Routers[1], leaving)
	if !leaving.Running() {
		t.Fatal("the router ended with streams open")
	}
	for _, st := range streams {
		st.mustComplete(t, tokens)
		if st.answer.Resumes > 0 {
			t.Fatalf("a stream was cut and resumed %d times", st.answer.Resumes)
		}
	}
	<-leaving.Exited()
	if code := leaving.ExitCode(); code != 0 {
		t.Fatalf("exit code %d", code)
	}
}

// Stops a router with a drain timeout shorter than its streams. Callers must
// resume at the other router without a lost or duplicate token.
func TestShortDrainResumesStreamsElsewhere(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, func(l *procs.Layout) { l.DrainTimeout = time.Second })
	const tokens = 400
	leaving := s.Routers[0]
	c := s.Caller(procs.DemoOrganisation)
	streams := openMany(t, c, []string{leaving.Address, s.Routers[1].Address}, tokens)
	if err := leaving.Terminate(); err != nil {
		t.Fatal(err)
	}
	<-leaving.Exited()
	for _, st := range streams {
		st.mustComplete(t, tokens)
		if st.answer.Resumes == 0 {
			t.Fatal("a stream was not resumed although its router has exited")
		}
	}
}
