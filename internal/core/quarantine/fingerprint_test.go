package quarantine

import "testing"

// Guards against different requests with the same fingerprint.
func TestFingerprintsDistinguishRequests(t *testing.T) {
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
		if previous, duplicate := seen[f]; duplicate {
			t.Errorf("requests %d and %d have the same fingerprint", previous, i)
		}
		if repeated := FingerprintOf(r[0], r[1], r[2], r[3], []byte(r[4])); repeated != f {
			t.Errorf("request %d has two different fingerprints", i)
		}
		seen[f] = i
	}
}
