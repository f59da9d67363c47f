package keeper

import (
	"context"
	"testing"
)

// A platform without objects has revision zero. If zero meant "not listed yet",
// every watcher would list it four times a second for each kind.
func TestEmptyPlatformIsListedOnce(t *testing.T) {
	p := newFakePlatform()
	k, _ := newTestKeeper(p)
	w := newWatch(k, testKind, &recordSource{keeper: k, kind: testKind})
	w.step(t.Context())
	if !w.listed || w.revision != 0 {
		t.Fatalf("listed is %v at revision %d, want true at 0", w.listed, w.revision)
	}
	p.getResults = []callResult{resultDown}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w.step(ctx)
	if len(p.getResults) != 1 {
		t.Fatal("the empty platform was listed again")
	}
}
