// Package quarantine finds requests that crash each endpoint that runs them,
// known as queries of death, and decides which are not to be sent any more. It
// knows no sockets and no clock.
package quarantine
