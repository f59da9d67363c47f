package scheduling

import (
	"fmt"
	"io"
	"slices"
	"testing"

	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// memberList is a list of members that tests replace.
type memberList []port.Member

func (l *memberList) Members() []port.Member   { return slices.Clone(*l) }
func (l *memberList) Changed() <-chan struct{} { return nil }

func liveMember(id string, processorMilli uint32) port.Member {
	return port.Member{
		ID: id, State: port.MemberLive, CallerAddress: id, PeerAddress: id, Capacity: port.HostCapacity{ProcessorMilli: processorMilli},
	}
}

// newListedClient returns a client of a daemon that sees the members of the list.
func newListedClient(self string, own uint32, l *memberList) *Client {
	return NewClient(Options{
		Self: self, Capacity: port.HostCapacity{ProcessorMilli: own}, Members: l, Clock: (&clock{now: start}).Now,
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}, nil)
}

// coordinators returns the coordinators of some pools.
func coordinators(c *Client) []string {
	var out []string
	for i := range 40 {
		out = append(out, c.coordinator(fmt.Sprint("pool-", i)).id)
	}
	return out
}

func (l *memberList) set(id string, state port.MemberState) {
	for i := range *l {
		if (*l)[i].ID == id {
			(*l)[i].State = state
		}
	}
}

// Guards against a small host that places for a whole pool while a large one lives, and
// against coordinators that change when small hosts join, leave or die.
func TestSmallHostsChangeNoCoordinator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &memberList{liveMember("large-a", 480), liveMember("large-b", 800), liveMember("large-c", 400)}
		c := newListedClient("large-a", 480, l)
		want := coordinators(c)
		for i := range rapid.IntRange(1, 8).Draw(t, "changes") {
			id := fmt.Sprint("small-", i)
			*l = append(*l, liveMember(id, rapid.Uint32Range(1, 399).Draw(t, "processors")))
			l.set(fmt.Sprint("small-", rapid.IntRange(0, i).Draw(t, "which")),
				rapid.SampledFrom([]port.MemberState{port.MemberLive, port.MemberLeaving, port.MemberDead}).Draw(t, "state"))
			if got := coordinators(c); !slices.Equal(got, want) {
				t.Fatalf("coordinators %v, want %v", got, want)
			}
		}
	})
}

// Guards against pools without a coordinator after the only large host was killed, is
// leaving, or doesn't answer.
func TestNextLargestHostsCoordinateWithoutALargeOne(t *testing.T) {
	small := []string{"small-a", "small-b"}
	for name, lose := range map[string]func(c *Client, l *memberList){
		"killed":  func(_ *Client, l *memberList) { l.set("large", port.MemberDead) },
		"leaving": func(_ *Client, l *memberList) { l.set("large", port.MemberLeaving) },
		"avoided": func(c *Client, _ *memberList) { c.handlePeerFailure(daemon{id: "large", address: "large"}, errLost) },
	} {
		t.Run(name, func(t *testing.T) {
			l := &memberList{liveMember("large", 800), liveMember("small-a", 144), liveMember("small-b", 192), liveMember("tiny", 60)}
			c := newListedClient("tiny", 60, l)
			if got := coordinators(c); slices.ContainsFunc(got, func(id string) bool { return id != "large" }) {
				t.Fatalf("coordinators %v beside a large host", got)
			}
			lose(c, l)
			got := coordinators(c)
			slices.Sort(got)
			if got = slices.Compact(got); !slices.Equal(got, small) {
				t.Fatalf("coordinators %v, want %v", got, small)
			}
		})
	}
}

// Guards against hosts of an earlier build, whose capacity nobody knows, that never
// coordinate or always do.
func TestHostsWithoutACapacityCountAsLargest(t *testing.T) {
	for _, c := range []struct {
		hosts []host
		want  []string
	}{
		{[]host{{"a", 0}, {"b", 0}}, []string{"a", "b"}},
		{[]host{{"a", 144}, {"b", 0}, {"c", 800}, {"d", 400}, {"e", 399}}, []string{"b", "c", "d"}},
		{[]host{{"a", 144}, {"b", 0}, {"c", 192}}, []string{"a", "b", "c"}},
		{[]host{{"a", 1}, {"b", 4_294_967_295}}, []string{"b"}},
		{nil, nil},
	} {
		if got := largeHosts(c.hosts); !slices.Equal(got, c.want) {
			t.Errorf("%v: got %v, want %v", c.hosts, got, c.want)
		}
	}
}

// Guards against daemons that disagree on the coordinator because each takes its own
// capacity for another than the others do.
func TestDaemonsAgreeOnTheCoordinator(t *testing.T) {
	l := &memberList{liveMember("large-a", 800), liveMember("large-b", 480), liveMember("small", 144), liveMember("earlier", 0)}
	want := coordinators(newListedClient("large-a", 800, l))
	for _, m := range *l {
		// The list is what all daemons know; the settings may differ from it.
		for _, own := range []uint32{0, m.Capacity.ProcessorMilli} {
			if got := coordinators(newListedClient(m.ID, own, l)); !slices.Equal(got, want) {
				t.Errorf("%s with %d: coordinators %v, want %v", m.ID, own, got, want)
			}
		}
	}
	joining := newListedClient("new", 144, l)
	if got := coordinators(joining); !slices.Equal(got, want) {
		t.Errorf("before its own entry is listed: coordinators %v, want %v", got, want)
	}
}
