// Package routing decides which runner gets a generation, and when. It keeps
// one shard of state per pool of runners, each under its own lock. It reads
// no clock and starts no goroutine: the caller passes in times and
// randomness.
//
// For each runner a decision estimates the probability that its cache
// overflows once all its runs and the new request have grown (footprint.go).
// The estimate uses the last load report, corrected by what this router has
// done since (runner.go). A request that fits no runner is held in fair
// order (held.go), or refused with a retry time (package admission).
package routing
