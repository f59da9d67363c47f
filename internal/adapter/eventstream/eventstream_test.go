package eventstream

import (
	"strings"
	"testing"
)

// Guards against an event that counts as a comment, so that it is passed on without a check
// of its place, and against a comment that counts as an event.
func TestOnlyBlocksWithoutDataAndIDAreEmpty(t *testing.T) {
	for block, want := range map[string]bool{
		": ping\n\n":              true,
		"\n\n":                    true,
		": data: x\r\n\r\n":       true,
		"event: ping\n\n":         true,
		"retry: 10\n: x\n\n":      true,
		"data: x\n\n":             false,
		"data\n\n":                false,
		"data:\n\n":               false,
		"id: 4\n\n":               false,
		"id\n\n":                  false,
		"id: a\x00\n\n":           false,
		": x\rdata: x\n\n":        false,
		": x\r\ndata: x\r\n\r\n":  false,
		"\xef\xbb\xbfdata: x\n\n": false,
	} {
		event, err := NewReader(strings.NewReader(block)).Next()
		if err != nil || event.Empty != want || string(event.Raw) != block {
			t.Errorf("%q: %+v, %v, want empty: %v", block, event, err, want)
		}
	}
}
