// Package gateway serves the operators' routes: it finds a request's route
// and organisation, places it at an endpoint of the route's pool, passes the
// request and the answer on unchanged, and answers for the outcome.
//
// Requests to model engines are placed by the scheduler of package routing,
// calls of plain services by the balancer. What may be sent again is decided
// by package outcome from what is known of each attempt.
package gateway
