// Package ratelimit is about endpoints that name, in their answers, the requests
// a second that they take from all daemons together: when such a limit is
// believed, and when a request may be sent to such an endpoint. It knows no
// sockets and no other daemons.
package ratelimit
