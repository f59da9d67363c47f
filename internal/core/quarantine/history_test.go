package quarantine

import "testing"

// Guards against ignoring further reports of a crash that still counts, because earlier ones were discarded.
func TestOnlyDiscardedCrashesAreRememberedAsSuch(t *testing.T) {
	h, f := make(histories), Fingerprint{1}
	h.update(f, 0, []CrashID{1, 2})
	h.update(f, 1, []CrashID{2})
	if !h.isDiscarded(f, 1) || h.isDiscarded(f, 2) {
		t.Errorf("crash 1 is discarded: %v, want true; crash 2: %v, want false", h.isDiscarded(f, 1), h.isDiscarded(f, 2))
	}
}
