// Package stream contains the state machine of one run of a generation. It
// decides which frames are delivered to the caller, and when to resume, probe and
// cancel the run. It uses no sockets and no clock: the driver passes in events and
// executes the command that each of them returns.
package stream
