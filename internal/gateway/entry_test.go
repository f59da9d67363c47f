package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against leading callers to daemons without paths, or all to the few with one.
func TestEntryPrefersDaemonsWithPaths(t *testing.T) {
	plain, both := []string{"plain"}, []string{"engines", "plain"}
	for _, c := range []struct {
		name string
		// lost holds the lost pools of each daemon, the first of which is asked.
		lost [][]string
		want []int
	}{
		{"none", [][]string{nil, nil, nil, nil}, []int{0, 1, 2, 3}},
		{"half of the others", [][]string{nil, both, nil, both}, []int{0, 2}},
		{"the daemon that is asked", [][]string{both, nil, nil, nil}, []int{1, 2, 3}},
		{"one service", [][]string{nil, nil, plain, nil}, []int{0, 1, 3}},
		{"most", [][]string{both, both, nil, both}, []int{0, 1, 2, 3}},
		{"a service that nobody reaches", [][]string{plain, plain, plain, plain}, []int{0, 1, 2, 3}},
		{"a service that nobody reaches, and another", [][]string{plain, both, plain, plain}, []int{0, 2, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t)
			for _, pool := range c.lost[0] {
				b.losePool(pool)
			}
			for i, lost := range c.lost[1:] {
				b.view.members = append(b.view.members, port.Member{
					ID: fmt.Sprint("d", i+1), State: port.MemberLive, CallerAddress: fmt.Sprint("127.0.0.1:", i+2), LostPools: lost,
				})
			}
			var want []string
			for _, i := range c.want {
				want = append(want, fmt.Sprint("127.0.0.1:", i+1))
			}
			got, _ := b.Entry("z")
			slices.Sort(got)
			if !slices.Equal(got, want) {
				t.Errorf("%v, want %v", got, want)
			}
		})
	}
}

// losePool makes all connects to the endpoints of a pool fail.
func (b *harness) losePool(pool string) {
	for _, id := range b.endpointTable.usableIDs(pool) {
		e, _ := b.endpointTable.get(id)
		b.ObservePath(e.Endpoint, port.PathConnectFailed, errReset)
	}
}

// Guards against daemons that keep announcing lost paths after they are back.
func TestLostPoolsArePublished(t *testing.T) {
	b := newHarness(t)
	b.view.members = []port.Member{{ID: "g", State: port.MemberLive}}
	b.losePool("plain")
	if got := b.view.Members()[0].LostPools; !slices.Equal(got, []string{"plain"}) {
		t.Fatalf("published %v", got)
	}
	e, _ := b.endpointTable.get("s1")
	b.ObservePath(e.Endpoint, port.PathReached, nil)
	if got := b.view.Members()[0].LostPools; len(got) != 0 {
		t.Fatalf("published %v after a path is back", got)
	}
	if b.paths.AnsweredSince("plain", time.Now().Add(-time.Minute)) != true {
		t.Fatal("the answer is not known")
	}
}
