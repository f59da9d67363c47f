// Package admission implements admission control at one router: concurrency and
// rate limits, fair queueing, Retry-After times and the retry budget. Routers
// share no counters; each decides from its own state. The types have no clock
// and no lock: the caller passes the current time and holds the lock of the shard
// that owns them.
package admission
