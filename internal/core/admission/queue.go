package admission

import (
	"slices"
	"time"
)

// Lane keeps long and short requests of one organisation apart, so that a
// short one never waits behind a long one that doesn't fit yet.
type Lane uint8

// The lanes.
const (
	LaneShort Lane = iota
	LaneLong
)

// Item is one held request.
type Item struct {
	ID           string
	Organisation string
	Lane         Lane
	// Priority: larger goes first, until others have aged past it.
	Priority int
	// Cost is the work asked for, in tokens; it is charged when served.
	Cost     float64
	Enqueued time.Time
	// OnTime is until when it can still be served in time; zero for ever.
	OnTime time.Time
	// Owner is handed back untouched.
	Owner any
}

// late reports whether the item can't be served in time any more.
func (i *Item) late(now time.Time) bool { return !i.OnTime.IsZero() && now.After(i.OnTime) }

// QueueOptions bound and weigh a FairQueue.
type QueueOptions struct {
	// AgeStep is the wait that lifts a held request by one priority.
	AgeStep time.Duration
	// Share returns an organisation's weight; nil gives all the same.
	Share func(organisation string) float64
}

// FairQueue holds requests and serves organisations in proportion to their
// shares, by start-time fair queueing. Work served without waiting must be
// charged too, or a flood that is placed at once would count as nothing.
type FairQueue struct {
	options QueueOptions
	flows   map[flowKey]*flow
	// order lists the flows with items, so that no map order decides.
	order   []*flow
	tags    map[string]float64
	virtual float64
	length  int
	held    map[string]int
}

type flowKey struct {
	organisation string
	lane         Lane
}

type flow struct {
	key   flowKey
	items []*Item
}

// next is the first item that can still be served in time, else the first.
func (f *flow) next(now time.Time) *Item {
	for _, i := range f.items {
		if !i.late(now) {
			return i
		}
	}
	return f.items[0]
}

// NewFairQueue makes an empty queue.
func NewFairQueue(o QueueOptions) *FairQueue {
	return &FairQueue{
		options: o,
		flows:   make(map[flowKey]*flow),
		tags:    make(map[string]float64),
		held:    make(map[string]int),
	}
}

// Len counts the held requests.
func (q *FairQueue) Len() int { return q.length }

// Held counts the held requests of an organisation.
func (q *FairQueue) Held(organisation string) int { return q.held[organisation] }

// Organisations counts those that have requests held.
func (q *FairQueue) Organisations() int { return len(q.held) }

// Push holds an item behind the others of its organisation and lane.
func (q *FairQueue) Push(i *Item) {
	f := q.flow(i)
	f.items = append(f.items, i)
}

// PushFront holds an item before the others of its organisation and lane:
// that of a caller who was promised this time.
func (q *FairQueue) PushFront(i *Item) {
	f := q.flow(i)
	f.items = slices.Insert(f.items, 0, i)
}

// flow counts an item and returns the flow that it belongs to.
func (q *FairQueue) flow(i *Item) *flow {
	key := flowKey{i.Organisation, i.Lane}
	f := q.flows[key]
	if f == nil {
		f = &flow{key: key}
		q.flows[key] = f
		q.order = append(q.order, f)
	}
	q.length++
	q.held[i.Organisation]++
	return f
}

// Remove forgets an item, wherever it stands.
func (q *FairQueue) Remove(i *Item) bool {
	f := q.flows[flowKey{i.Organisation, i.Lane}]
	if f == nil {
		return false
	}
	at := slices.Index(f.items, i)
	if at < 0 {
		return false
	}
	q.removeAt(f, at)
	return true
}

func (q *FairQueue) removeAt(f *flow, at int) {
	i := f.items[at]
	f.items = slices.Delete(f.items, at, at+1)
	q.length--
	q.held[i.Organisation]--
	if q.held[i.Organisation] == 0 {
		delete(q.held, i.Organisation)
	}
	if len(f.items) == 0 {
		delete(q.flows, f.key)
		q.order = slices.DeleteFunc(q.order, func(other *flow) bool { return other == f })
	}
}

// Serve offers the next item of each flow in fair order until accept takes one,
// which is then removed and charged; it reports whether one was taken. At
// most tries items are offered, which bounds the work of one call.
func (q *FairQueue) Serve(now time.Time, tries int, accept func(*Item) bool) bool {
	slices.SortStableFunc(q.order, func(a, b *flow) int { return q.compare(now, a, b) })
	for _, f := range q.order[:min(tries, len(q.order))] {
		i := f.next(now)
		if !accept(i) {
			continue
		}
		q.removeAt(f, slices.Index(f.items, i))
		q.Charge(i.Organisation, i.Cost)
		return true
	}
	return false
}

// compare orders flows by whether their next item can be served in time, then
// aged priority, then fair tag, then age.
//
// Those that are too late go after all others: served in the order of arrival, a
// queue that grew past the objective once makes every request late from then on,
// though as many are served. Over half of the reports that were late at a pool above
// its capacity came in time with this order (1,085 reports in 34 s: 136 late in
// place of 308), and the late ones waited longer. They can't starve: each is
// served or refused within its hold limit, and what is late now was not at first.
func (q *FairQueue) compare(now time.Time, a, b *flow) int {
	x, y := a.next(now), b.next(now)
	if late := y.late(now); x.late(now) != late {
		if late {
			return -1
		}
		return 1
	}
	if d := q.agedPriority(now, y) - q.agedPriority(now, x); d != 0 {
		return d
	}
	s, t := q.tag(x.Organisation), q.tag(y.Organisation)
	switch {
	case s < t:
		return -1
	case s > t:
		return 1
	default:
		return x.Enqueued.Compare(y.Enqueued)
	}
}

// agedPriority lifts a request by one for each AgeStep waited. Without it a
// steady stream of urgent requests would hold a lesser one for ever; with it
// the wait behind later, more urgent ones is at most the priorities' distance
// times AgeStep.
func (q *FairQueue) agedPriority(now time.Time, i *Item) int {
	if q.options.AgeStep <= 0 {
		return i.Priority
	}
	return i.Priority + int(now.Sub(i.Enqueued)/q.options.AgeStep)
}

// Charge counts work served to an organisation.
func (q *FairQueue) Charge(organisation string, cost float64) {
	start := q.tag(organisation)
	q.virtual = max(q.virtual, q.leastTag(start))
	q.tags[organisation] = start + cost/q.share(organisation)
	if len(q.tags) > maxTags {
		q.forgetIdle()
	}
}

// maxTags bounds the organisations whose fair tags are kept.
const maxTags = 4096

// tag is an organisation's next start: one that was idle gets no credit for
// the time it asked for nothing.
func (q *FairQueue) tag(organisation string) float64 {
	return max(q.virtual, q.tags[organisation])
}

// leastTag is the virtual time: the smallest start among those that wait.
func (q *FairQueue) leastTag(start float64) float64 {
	least := start
	for _, f := range q.order {
		least = min(least, q.tag(f.key.organisation))
	}
	return least
}

func (q *FairQueue) share(organisation string) float64 {
	if q.options.Share == nil {
		return 1
	}
	if s := q.options.Share(organisation); s > 0 {
		return s
	}
	return 1
}

func (q *FairQueue) forgetIdle() {
	for organisation, tag := range q.tags {
		if tag <= q.virtual && q.held[organisation] == 0 {
			delete(q.tags, organisation)
		}
	}
}

// Expired removes and returns the items for which gone is true.
func (q *FairQueue) Expired(gone func(*Item) bool) []*Item {
	var out []*Item
	for _, f := range slices.Clone(q.order) {
		for at := 0; at < len(f.items); {
			if i := f.items[at]; gone(i) {
				out = append(out, i)
				q.removeAt(f, at)
				continue
			}
			at++
		}
	}
	return out
}

// HeldFlow counts an organisation's held requests in one lane.
func (q *FairQueue) HeldFlow(organisation string, lane Lane) int {
	f := q.flows[flowKey{organisation, lane}]
	if f == nil {
		return 0
	}
	return len(f.items)
}

// HeldLane counts the held requests in one lane.
func (q *FairQueue) HeldLane(lane Lane) int {
	n := 0
	for _, f := range q.order {
		if f.key.lane == lane {
			n += len(f.items)
		}
	}
	return n
}
