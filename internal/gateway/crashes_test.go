package gateway

import (
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// The lines of two attempts that lost their endpoint show whether they were of
// one request, which its ids don't.
func TestLostAttemptsNameTheirFingerprint(t *testing.T) {
	b := newBench(t)
	b.everywhere("s", failure(port.ErrEndpointLost))
	for _, id := range []string{"first", "again"} {
		if refusal := b.askAs(t, id, "/once/same", &caller{}); refusal == nil {
			t.Fatal("not refused")
		}
	}
	if refusal := b.askAs(t, "other", "/once/other", &caller{}); refusal == nil {
		t.Fatal("not refused")
	}
	b.everywhere("s", reply(200, "fine"))
	if refusal := b.askAs(t, "whole", "/once/same", &caller{}); refusal != nil {
		t.Fatal(refusal)
	}
	first, again, other := b.fingerprint("first"), b.fingerprint("again"), b.fingerprint("other")
	if first == "" || first != again || first == other || b.fingerprint("whole") != "" {
		t.Fatalf("fingerprints %q, %q, %q, and %q of a whole answer", first, again, other, b.fingerprint("whole"))
	}
}

// fingerprint is the one that the last line of a request names.
func (b *bench) fingerprint(requestID string) string {
	name := ""
	for _, d := range b.sink.All() {
		if d.Subject == subjectRequest && d.SubjectID == requestID {
			name = d.Fingerprint
		}
	}
	return name
}
