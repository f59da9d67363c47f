package node

import (
	"fmt"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Hundreds of daemons start together and request thousands of endpoints from the
// same daemon. If each answer were one message, that daemon would have all of them
// in memory at once and be killed, failing its callers' requests.
func TestBoundedMessagesSendAllEntries(t *testing.T) {
	const endpoints, records, maxEntries = 5000, 2000, 1000
	a, b := New(), New()
	for i := range endpoints {
		a.PutEndpoint(membership.Listed(port.Endpoint{ID: fmt.Sprint("runner-", i), Address: "a:1", Incarnation: 1}))
	}
	for i := range records {
		a.PutRecord(port.Record{Kind: "k", Name: fmt.Sprint(i), Version: uint64(i + 1), Body: []byte("{}")})
	}
	a.SetComplete()
	asking, answering := b.Open(true), a.Open(false)
	ask := asking.Next()
	answering.Receive(&ask)
	for messages := 0; ; messages++ {
		m := answering.Next()
		if n := len(m.Endpoints.Entries); n > maxEntries {
			t.Fatalf("%d endpoints in one message", n)
		}
		if m.Complete && b.Records.Len()+len(m.Records.Entries) < records {
			t.Fatalf("complete with %d records of %d", b.Records.Len()+len(m.Records.Entries), records)
		}
		asking.Receive(&m)
		select {
		case <-answering.Wakeups():
			continue
		default:
		}
		break
	}
	if b.Endpoints.Len() != endpoints || b.Records.Len() != records || !b.Complete() {
		t.Fatalf("%d endpoints, %d records, complete: %v", b.Endpoints.Len(), b.Records.Len(), b.Complete())
	}
}

// Many daemons connect to the same one when they start. That one sends members at
// once, but endpoints only when they are no longer held for the link.
func TestHeldEndpointsAreSentAfterRelease(t *testing.T) {
	a, b := New(), New()
	a.PutEndpoint(membership.Listed(port.Endpoint{ID: "runner", Address: "a:1", Incarnation: 1}))
	a.PutMember(membership.Member{ID: "other", Incarnation: 1, State: port.MemberLive})
	asking, answering := b.Open(true), a.Open(false)
	answering.PauseEndpoints(true)
	pass := func() {
		for range 3 {
			ask := asking.Next()
			answering.Receive(&ask)
			answer := answering.Next()
			asking.Receive(&answer)
		}
	}
	pass()
	if b.Members.Len() != 1 || b.Endpoints.Len() != 0 {
		t.Fatalf("%d members and %d endpoints received while endpoints are held", b.Members.Len(), b.Endpoints.Len())
	}
	<-answering.Wakeups()
	answering.PauseEndpoints(false)
	select {
	case <-answering.Wakeups():
	default:
		t.Fatal("the link isn't woken when endpoints are no longer held")
	}
	pass()
	if b.Endpoints.Len() != 1 {
		t.Fatal("the endpoint didn't arrive")
	}
}
