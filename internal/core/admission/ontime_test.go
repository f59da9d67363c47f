package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A pool was over its capacity for some seconds. In the order of arrival each
// request would be served just after its objective, all of them late. Those that
// can still be in time go first; the late ones follow when nobody else waits.
func TestThoseInTimeGoBeforeThoseTooLate(t *testing.T) {
	q := NewFairQueue(QueueOptions{})
	for i := range 6 {
		q.Push(&Item{
			ID: fmt.Sprint(i), Organisation: fmt.Sprint("o", i%2), Cost: 1,
			Enqueued: at(time.Duration(i) * time.Second), OnTime: at(time.Duration(i+1) * time.Second),
		})
	}
	now := at(4500 * time.Millisecond)
	var served []string
	for q.Serve(now, 4, func(i *Item) bool { served = append(served, i.ID); return true }) {
	}
	if slices.Contains(served[:2], "0") || !slices.Contains(served[:2], "4") || !slices.Contains(served[:2], "5") {
		t.Fatalf("served in the order %v", served)
	}
	if len(served) != 6 {
		t.Fatalf("served %v: the late ones starve", served)
	}
}

// Whatever waits, one that is too late is served only when no organisation's
// next one can be in time; all that is pushed is served once.
func TestNoLateOneIsServedBeforeOneInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFairQueue(QueueOptions{AgeStep: time.Second})
		waiting := map[string]*Item{}
		for n := range rapid.IntRange(1, 40).Draw(t, "items") {
			i := &Item{
				ID: fmt.Sprint(n), Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
				Lane: Lane(rapid.IntRange(0, 1).Draw(t, "lane")), Priority: rapid.IntRange(-3, 3).Draw(t, "priority"),
				Cost: 1, Enqueued: start,
			}
			if rapid.Bool().Draw(t, "objective") {
				i.OnTime = at(time.Duration(rapid.IntRange(0, 5000).Draw(t, "until")) * time.Millisecond)
			}
			waiting[i.ID] = i
			q.Push(i)
		}
		now := start
		for len(waiting) > 0 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "passed")) * time.Millisecond)
			inTime := 0
			for _, i := range waiting {
				if !i.late(now) {
					inTime++
				}
			}
			var got *Item
			if !q.Serve(now, len(waiting), func(i *Item) bool { got = i; return true }) {
				t.Fatalf("%d wait and none is served", len(waiting))
			}
			if waiting[got.ID] != got {
				t.Fatalf("%s is served twice", got.ID)
			}
			if got.late(now) && inTime > 0 {
				t.Fatalf("%s is too late and served before %d in time", got.ID, inTime)
			}
			delete(waiting, got.ID)
		}
	})
}
