package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A pool was over its capacity for some seconds. In order of arrival each request
// would be served just after its objective, so all would be late. Requests that can
// still be served in time go first; late ones follow when no others wait.
func TestQueueServesTimelyItemsBeforeLateItems(t *testing.T) {
	q := NewFairQueue(QueueOptions{})
	for i := range 6 {
		q.Push(&Item{
			ID: fmt.Sprint(i), Organisation: fmt.Sprint("o", i%2), Cost: 1,
			Enqueued: at(time.Duration(i) * time.Second), ServeBy: at(time.Duration(i+1) * time.Second),
		})
	}
	now := at(4500 * time.Millisecond)
	var served []string
	for q.Serve(now, 4, func(i *Item) bool { served = append(served, i.ID); return true }) {
	}
	if slices.Contains(served[:2], "0") || !slices.Contains(served[:2], "4") || !slices.Contains(served[:2], "5") {
		t.Fatalf("served in the order %v, want items 4 and 5 first", served)
	}
	if len(served) != 6 {
		t.Fatalf("served %v, want all 6 items", served)
	}
}

// A late item is served only when the next item of no organisation can be served in
// time, and each item is served exactly once.
func TestQueueServesLateItemsLast(t *testing.T) {
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
				i.ServeBy = at(time.Duration(rapid.IntRange(0, 5000).Draw(t, "latest time")) * time.Millisecond)
			}
			waiting[i.ID] = i
			q.Push(i)
		}
		now := start
		for len(waiting) > 0 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "elapsed")) * time.Millisecond)
			timely := 0
			for _, i := range waiting {
				if !i.late(now) {
					timely++
				}
			}
			var served *Item
			if !q.Serve(now, len(waiting), func(i *Item) bool { served = i; return true }) {
				t.Fatalf("%d items waiting, none served", len(waiting))
			}
			if waiting[served.ID] != served {
				t.Fatalf("item %s served twice", served.ID)
			}
			if served.late(now) && timely > 0 {
				t.Fatalf("late item %s served before %d timely items", served.ID, timely)
			}
			delete(waiting, served.ID)
		}
	})
}
