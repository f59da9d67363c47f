package port

import "time"

// HandOver is what the former coordinator of a pool has learned, for its successor.
type HandOver struct {
	Pool string
	// Sender is the id of the former coordinator, Incarnation its start and Sequence the
	// number of the message within the incarnation.
	Sender      string
	Incarnation uint64
	Sequence    uint64
	// At is the time when the sender stopped being the coordinator, by the clock of the
	// daemon that holds the value. The figures are as of this time.
	At            time.Time
	Speeds        []EndpointSpeed
	Organisations []OrganisationUse
	Bookings      []RetryBooking
}

// IsEmpty reports whether the value contains no figures.
func (h *HandOver) IsEmpty() bool {
	return len(h.Speeds)+len(h.Organisations)+len(h.Bookings) == 0
}

// EndpointSpeed is the estimated speed of one incarnation of an endpoint.
type EndpointSpeed struct {
	Endpoint    string
	Incarnation uint64
	// Stated is the usual slowness that the endpoint states, as in LoadHint, and Step the
	// time of a decoding step in a batch of one; zeros mean that they are not known.
	Stated float64
	Step   time.Duration
}

// OrganisationUse is the recent use of a pool by one organisation.
type OrganisationUse struct {
	Organisation string
	// Work is the work of placed requests and Demand that of first attempts, both in
	// cache tokens times decoding steps per second.
	Work, Demand float64
	// ShortPerSecond and LongPerSecond are the rates of placed requests of each lane.
	ShortPerSecond, LongPerSecond float64
}

// RetryBooking is a retry time that was given to a refused caller.
type RetryBooking struct {
	Organisation string
	// Long is set for a request of the lane of long requests.
	Long bool
	Due  time.Time
}

// HandOverCounts are the numbers of figures that were applied.
type HandOverCounts struct {
	Speeds, Organisations, Bookings int
}
