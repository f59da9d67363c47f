package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// One organisation fills the queue first. The others arrive later, with the same
// share or twice that, and must still get their share of the service.
func TestQueueServesByShare(t *testing.T) {
	shares := map[string]float64{"flood": 1, "small": 1, "large": 2}
	q := NewFairQueue(QueueOptions{Share: func(o string) float64 { return shares[o] }})
	for i := range 400 {
		q.Push(&Item{ID: fmt.Sprint("f", i), Organisation: "flood", Cost: 10, Enqueued: start})
	}
	for i := range 100 {
		q.Push(&Item{ID: fmt.Sprint("s", i), Organisation: "small", Cost: 10, Enqueued: at(time.Second)})
		q.Push(&Item{ID: fmt.Sprint("l", i), Organisation: "large", Cost: 10, Enqueued: at(time.Second)})
	}
	served := map[string]int{}
	for range 120 {
		q.Serve(at(2*time.Second), 10, func(i *Item) bool { served[i.Organisation]++; return true })
	}
	if served["flood"] != 30 || served["small"] != 30 || served["large"] != 60 {
		t.Fatalf("served %v, want 30, 30, 60", served)
	}
}

// An organisation is placed without waiting until the pool is full. That work must
// count against its share once others wait.
func TestChargeCountsWorkServedWithoutWaiting(t *testing.T) {
	q := NewFairQueue(QueueOptions{})
	q.Push(&Item{ID: "w", Organisation: "waits", Cost: 1, Enqueued: start})
	for range 5 {
		q.Charge("flood", 10)
	}
	q.Push(&Item{ID: "f", Organisation: "flood", Cost: 1, Enqueued: start.Add(-time.Second)})
	first := ""
	q.Serve(start, 5, func(i *Item) bool { first = i.ID; return true })
	if first != "w" {
		t.Fatalf("served item %q first, want w", first)
	}
}

// A steady stream of urgent requests must not block a less urgent one forever.
func TestQueueAgeingBoundsWait(t *testing.T) {
	const step = time.Second
	q := NewFairQueue(QueueOptions{AgeStep: step})
	q.Push(&Item{ID: "low", Organisation: "a", Priority: 0, Cost: 1, Enqueued: start})
	for i := range 20 {
		now := at(time.Duration(i) * step)
		q.Push(&Item{ID: fmt.Sprint(i), Organisation: "b", Priority: 5, Cost: 1, Enqueued: now})
		served := ""
		q.Serve(now, 5, func(i *Item) bool { served = i.ID; return true })
		if served == "low" {
			if i > 6 {
				t.Fatalf("low-priority item served only after %d age steps", i)
			}
			return
		}
	}
	t.Fatal("low-priority item was never served")
}

// The queue serves each item exactly once, in order of arrival within each flow,
// and its counts agree with a plain map.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFairQueue(QueueOptions{AgeStep: time.Second})
		held := map[string]*Item{}
		now, n := start, 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				i := &Item{
					ID:           fmt.Sprint(n),
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Lane:         Lane(rapid.IntRange(0, 1).Draw(t, "lane")),
					Priority:     rapid.IntRange(0, 3).Draw(t, "priority"),
					Cost:         rapid.Float64Range(1, 100).Draw(t, "cost"),
					Enqueued:     now,
				}
				q.Push(i)
				held[i.ID] = i
			},
			"serve": func(t *rapid.T) {
				now = now.Add(100 * time.Millisecond)
				refuse := rapid.Bool().Draw(t, "refuse lane")
				q.Serve(now, 8, func(i *Item) bool {
					if refuse && i.Lane == LaneLong {
						return false
					}
					for _, other := range held {
						if other.Organisation == i.Organisation && other.Lane == i.Lane && other.Enqueued.Before(i.Enqueued) {
							t.Fatalf("item %s served before the older item %s of its flow", i.ID, other.ID)
						}
					}
					if held[i.ID] != i {
						t.Fatalf("item %s served twice", i.ID)
					}
					delete(held, i.ID)
					return true
				})
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, n+1).Draw(t, "id"))
				if i := held[id]; i != nil {
					if !q.Remove(i) || q.Remove(i) {
						t.Fatal("Remove did not remove the item exactly once")
					}
					delete(held, id)
				}
			},
			"expire": func(t *rapid.T) {
				for _, i := range q.RemoveExpired(func(i *Item) bool { return now.Sub(i.Enqueued) > 2*time.Second }) {
					delete(held, i.ID)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(held) {
					t.Fatalf("queue holds %d items, oracle %d", q.Len(), len(held))
				}
				count := map[string]int{}
				for _, i := range held {
					count[i.Organisation]++
				}
				for _, o := range []string{"a", "b", "c"} {
					if q.Held(o) != count[o] {
						t.Fatalf("organisation %s: queue holds %d items, oracle %d", o, q.Held(o), count[o])
					}
				}
			},
		})
		for q.Len() > 0 {
			if !q.Serve(now, 8, func(i *Item) bool { delete(held, i.ID); return true }) {
				t.Fatal("Serve took nothing from a non-empty queue")
			}
		}
		if len(held) != 0 {
			t.Fatalf("%d items were never served", len(held))
		}
	})
}

// Regardless of how requests are distributed over routers, the total of open
// requests stays within the limit times borrowFactor, plus one per router for
// rounding. An organisation that is spread evenly can use its whole limit.
func TestConcurrencySharesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 12).Draw(t, "routers")
		limit := rapid.IntRange(1, 100).Draw(t, "limit")
		limiters := make([]Limiter, routers)
		limits := Limits{Concurrency: limit}
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			l := &limiters[rapid.IntRange(0, routers-1).Draw(t, "router")]
			if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				l.Release()
				continue
			}
			l.Acquire(start, limits, routers, 1)
		}
		total := 0
		for i := range limiters {
			total += limiters[i].Open()
		}
		if float64(total) > borrowFactor*float64(limit)+float64(routers) {
			t.Fatalf("%d requests open, limit %d, %d routers", total, limit, routers)
		}
		if routers == 1 && total > limit {
			t.Fatalf("%d requests open, limit %d, one router", total, limit)
		}
		evenlyUsed := make([]Limiter, routers)
		for i := range limit - limit%routers {
			if v, _ := evenlyUsed[i%routers].Acquire(start, limits, routers, 1); v != WithinLimits {
				t.Fatalf("evenly spread request %d refused, limit %d, %d routers: verdict %v", i, limit, routers, v)
			}
		}
	})
}

func TestRateLimitWaitIsLongEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{TokensPerSecond: rapid.Float64Range(10, 1000).Draw(t, "rate")}
		routers := rapid.IntRange(1, 8).Draw(t, "routers")
		var l Limiter
		now, admitted := start, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond)
			tokens := rapid.Float64Range(1, 200).Draw(t, "tokens")
			v, wait := l.Acquire(now, limits, routers, tokens)
			if v == WithinLimits {
				admitted += tokens
				continue
			}
			retried := l
			if v, _ := retried.Acquire(now.Add(wait+time.Millisecond), limits, routers, tokens); v != WithinLimits {
				t.Fatalf("refused again after the returned wait of %v", wait)
			}
		}
		rate := rateShare(limits.TokensPerSecond, routers)
		if bound := (now.Sub(start).Seconds()+burst)*rate + 200; admitted > bound {
			t.Fatalf("admitted %v tokens, bound %v", admitted, bound)
		}
	})
}

// Callers with the same retry time return together and are refused again. Retry
// times must be no denser than the service rate, apart from rounding to whole
// seconds, and must lie within their bounds.
func TestRetryBookingsAreSpacedByRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p RetryBookings
		rate := rapid.Float64Range(0.5, 20).Draw(t, "rate")
		now := start
		due := map[int64]int{}
		for range rapid.IntRange(1, 100).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			wait := p.Book(now, rapid.IntRange(0, 20).Draw(t, "backlog"), rate)
			if wait < minRetryAfter || wait > maxRetryAfter || wait%retryAfterUnit != 0 {
				t.Fatalf("retry time %v is out of bounds or not a whole second", wait)
			}
			if wait < maxRetryAfter {
				due[now.Add(wait).Unix()]++
			}
		}
		for second, n := range due {
			if float64(n) > rate+2 {
				t.Fatalf("%d promises due in second %d, rate %v", n, second, rate)
			}
		}
	})
}

func TestRetryBookingsAreRedeemedWithinGrace(t *testing.T) {
	var p RetryBookings
	wait := p.Book(start, 0, 10)
	if p.Redeem(start) {
		t.Fatal("promise redeemed before it was due")
	}
	due := at(wait)
	if p.Booked(start, due) != 1 || !p.Redeem(due) || p.Booked(due, due) != 0 || !p.Redeem(due) || p.Redeem(due) {
		t.Fatal("promise not redeemable exactly twice: once by a new caller and once by its own")
	}
	p.Book(start, 0, 10)
	if late := at(wait + promiseGrace + time.Minute); p.Booked(late, late) != 0 || p.Redeem(late) {
		t.Fatal("promise kept past its grace period")
	}
}

// A failing endpoint fails every request. Retries must not raise the load of the
// pool by more than a tenth, apart from the reserve.
func TestRetryBudgetBoundsAmplification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		tries := rapid.IntRange(1, 2000).Draw(t, "tries")
		retries := 0
		for range tries {
			b.FirstTry()
			for range rapid.IntRange(1, 3).Draw(t, "retries wanted") {
				if b.Retry() {
					retries++
				}
			}
		}
		if float64(retries) > retryShare*float64(tries)+retryReserve {
			t.Fatalf("%d retries for %d first tries", retries, tries)
		}
	})
}

// When an organisation returns after an idle period it must share the service from
// then on, and not be served alone until it has caught up with the others.
func TestIdleOrganisationEarnsNoCredit(t *testing.T) {
	q := NewFairQueue(QueueOptions{})
	for i := range 50 {
		q.Push(&Item{ID: fmt.Sprint(i), Organisation: "steady", Cost: 10, Enqueued: start})
		q.Serve(start, 5, func(*Item) bool { return true })
	}
	served := map[string]int{}
	for i := range 20 {
		q.Push(&Item{ID: fmt.Sprint("s", i), Organisation: "steady", Cost: 10, Enqueued: start})
		q.Push(&Item{ID: fmt.Sprint("b", i), Organisation: "back", Cost: 10, Enqueued: start})
	}
	for range 10 {
		q.Serve(start, 5, func(i *Item) bool { served[i.Organisation]++; return true })
	}
	if served["back"] > 6 {
		t.Fatalf("served %v, want at most 6 of the returning organisation", served)
	}
}
