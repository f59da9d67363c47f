package node

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// Daemons say what they have running while links lose messages, deliver them
// late or twice, and the ring has cycles: what each holds of another never goes
// back, and once all is quiet each holds the last word of every other.
func TestNewestLoadReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 4
		nodes := make([]*Node, daemons)
		held := make([]map[string]uint64, daemons)
		for i := range nodes {
			nodes[i] = New()
			held[i] = map[string]uint64{}
			nodes[i].OnLoad(func(l *port.DaemonLoad) {
				if l.Sequence <= held[i][l.Daemon] {
					t.Fatalf("daemon %d hears load %d of %s after %d", i, l.Sequence, l.Daemon, held[i][l.Daemon])
				}
				held[i][l.Daemon] = l.Sequence
			})
		}
		var ends [][2]*Link
		for i := range nodes {
			for _, step := range []int{1, 2} {
				ends = append(ends, [2]*Link{nodes[i].Open(true), nodes[(i+step)%daemons].Open(false)})
			}
		}
		deliver := func(from, to *Link, late *[]Message) {
			m := from.Next()
			*late = append(*late, m)
			to.Receive(&m)
		}
		var late []Message
		sequence := uint64(0)
		say := func(i int) {
			sequence++
			nodes[i].PutLoad(&port.DaemonLoad{Daemon: string(rune('a' + i)), Incarnation: 1, Sequence: sequence})
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			end := ends[rapid.IntRange(0, len(ends)-1).Draw(t, "link")]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				say(rapid.IntRange(0, daemons-1).Draw(t, "who"))
			case 1:
				deliver(end[0], end[1], &late)
			case 2:
				deliver(end[1], end[0], &late)
			case 3:
				end[0].Next()
			case 4:
				if len(late) > 0 {
					m := Message{Loads: late[rapid.IntRange(0, len(late)-1).Draw(t, "late")].Loads}
					end[1].Receive(&m)
				}
			}
		}
		for i := range nodes {
			say(i)
		}
		for range daemons {
			for _, end := range ends {
				deliver(end[0], end[1], &late)
				deliver(end[1], end[0], &late)
			}
		}
		for i := range nodes {
			for j := range nodes {
				name := string(rune('a' + j))
				if want := sequence - daemons + 1 + uint64(j); i != j && held[i][name] != want {
					t.Fatalf("daemon %d holds load %d of %s, want %d", i, held[i][name], name, want)
				}
			}
		}
	})
}
