package quarantine

import "testing"

// Guards against different requests with one fingerprint.
func TestFingerprintsTellRequestsApart(t *testing.T) {
	seen := make(map[Fingerprint]int)
	for i, r := range [][5]string{
		{"org", "POST", "host", "/a", "body"},
		{"other", "POST", "host", "/a", "body"},
		{"", "POST", "host", "/a", "body"},
		{"org", "GET", "host", "/a", "body"},
		{"org", "POST", "hos", "t/a", "body"},
		{"org", "POST", "host", "/ab", "ody"},
		{"org", "POST", "host", "/a?x=1", "body"},
		{"org", "POST", "host", "/a", ""},
	} {
		f := FingerprintOf(r[0], r[1], r[2], r[3], []byte(r[4]))
		if before, taken := seen[f]; taken {
			t.Errorf("requests %d and %d have one fingerprint", before, i)
		}
		if again := FingerprintOf(r[0], r[1], r[2], r[3], []byte(r[4])); again != f {
			t.Errorf("request %d has two fingerprints", i)
		}
		seen[f] = i
	}
}
