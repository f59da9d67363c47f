// Package ratelimit keeps daemons within the request rates of endpoints. An endpoint
// may state in its answers how many requests per second it accepts from all daemons
// together. The package decides when such a limit applies, and when a request may be
// sent to such an endpoint. It does no I/O and doesn't communicate with other
// daemons.
package ratelimit
