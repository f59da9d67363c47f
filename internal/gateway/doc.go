// Package gateway serves the requests of callers: it matches a request to a
// route and an organisation, places it at an endpoint of the route's pool,
// passes the request and the answer through unchanged, and reports the outcome.
//
// The scheduler of package routing places requests to model engines, and the
// balancer of package balance places calls of plain services. Package outcome
// decides from the results of all attempts whether a request may be sent again.
package gateway
