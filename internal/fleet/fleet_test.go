package fleet

import (
	"fmt"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// fakeMembers is a member list that counts its reads.
type fakeMembers struct {
	members []port.Member
	changed chan struct{}
	reads   int
}

func (f *fakeMembers) Members() []port.Member   { f.reads++; return f.members }
func (f *fakeMembers) Changed() <-chan struct{} { return f.changed }

func (f *fakeMembers) set(members ...port.Member) {
	f.members = members
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

func routerMember(id string, state port.MemberState) port.Member {
	return port.Member{ID: id, Role: port.RoleRouter, State: state, CallerAddress: "127.0.0.1:1"}
}

func TestRankFollowsTheLiveRouters(t *testing.T) {
	keeper := port.Member{ID: "k1", Role: port.RoleKeeper, State: port.MemberLive, PeerAddress: "127.0.0.1:1"}
	cases := []struct {
		name       string
		members    []port.Member
		rank, live int
	}{
		{"no members, this router not listed yet", nil, 0, 1},
		{"between two other routers", []port.Member{routerMember("r1", port.MemberLive), routerMember("r2", port.MemberLive), routerMember("r3", port.MemberLive), keeper}, 1, 3},
		{"a router of lower rank is leaving", []port.Member{routerMember("r1", port.MemberLeaving), routerMember("r2", port.MemberLive), routerMember("r3", port.MemberLive)}, 0, 2},
		{"this router is itself suspect", []port.Member{routerMember("r1", port.MemberLive), routerMember("r2", port.MemberSuspect)}, 1, 2},
	}
	view := &fakeMembers{}
	view.set()
	f := New("r2", view)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			view.set(c.members...)
			if rank, live := f.RouterRank(); rank != c.rank || live != c.live || f.LiveRouters() != c.live {
				t.Fatalf("rank %d of %d, want %d of %d", rank, live, c.rank, c.live)
			}
		})
	}
}

func TestMembersAreReadOncePerChange(t *testing.T) {
	view := &fakeMembers{}
	view.set(routerMember("r1", port.MemberLive))
	f := New("r2", view)
	for range 100 {
		f.RouterRank()
		f.LiveKeepers()
	}
	view.set(routerMember("r1", port.MemberDead))
	if live := f.LiveRouters(); live != 1 {
		t.Fatalf("%d live routers after the change, want 1", live)
	}
	if view.reads != 2 {
		t.Fatalf("members were read %d times, want 2: at the start and after the change", view.reads)
	}
}

func BenchmarkRouterRank(b *testing.B) {
	for _, n := range []int{6, 60, 360} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			view := &fakeMembers{}
			members := make([]port.Member, n)
			for i := range members {
				members[i] = routerMember(fmt.Sprint("r", i), port.MemberLive)
			}
			view.set(members...)
			f := New("r2", view)
			b.Run("kept", func(b *testing.B) {
				for range b.N {
					f.RouterRank()
				}
			})
			b.Run("derived", func(b *testing.B) {
				for range b.N {
					f.cached.Store(nil)
					f.RouterRank()
				}
			})
		})
	}
}
