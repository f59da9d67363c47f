package ctl

import (
	"encoding/json"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against a delivery summary that doesn't separate the time until a
// placement, the time until the first event and the longest pause. Operators
// read it to find where a late report lost its time. The input has the form of
// the daemon's log entry for the end of a stream.
func TestDeliveryTextShowsQueueFirstEventAndLongestGap(t *testing.T) {
	cases := []struct{ line, want string }{
		{
			`{"events":235,"held_ms":1210,"first_event_ms":1940,"longest_gap_ms":63,"longest_gap_event":12,"runners":1}`,
			"the caller had 235 events: 1210 ms until a place, 730 ms from there to the first event, the longest pause 63 ms before event 12",
		},
		{
			`{"events":81,"held_ms":3,"first_event_ms":431,"longest_gap_ms":912,"longest_gap_event":40,"runners":2}`,
			"the caller had 81 events: 3 ms until a place, 428 ms from there to the first event, the longest pause 912 ms before event 40, from 2 runners",
		},
		{
			`{"events":1,"held_ms":2,"first_event_ms":269,"runners":1}`,
			"the caller had 1 events: 2 ms until a place, 267 ms from there to the first event",
		},
	}
	for _, c := range cases {
		var d port.Delivery
		if err := json.Unmarshal([]byte(c.line), &d); err != nil {
			t.Fatal(err)
		}
		if got := deliveryText(&d); got != c.want {
			t.Errorf("got  %s\nwant %s", got, c.want)
		}
	}
}
