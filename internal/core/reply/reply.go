// Package reply decides what the head of an endpoint's response proves about the request for
// which it was read. An endpoint may send a response late or twice, so that it arrives where
// that to the next request on its connection is due. What a response states therefore counts
// only once it is known which request it answers.
package reply

import (
	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Proof is how the responses to one kind of call are known to be its own.
type Proof int

// The kinds of proof.
const (
	// ByName: each response names its request.
	ByName Proof = iota
	// ByConnection: responses name nothing, but each call has a connection of its own.
	ByConnection
	// ByKind: responses name nothing, but their connections carry only calls for which a
	// response to an earlier one serves as well.
	ByKind
)

// Check returns nil if a response is an answer to the request for which it was read,
// port.ErrMisdirected or port.ErrRefused if it states that the request did not run, and
// port.ErrForeignAnswer if it proves nothing: the request may have run then, and its
// connection may still bring the answer, so that it must not be used again.
func Check(r *port.Reply, proof Proof) error {
	states := r.NotExecuted || r.Misdirected
	switch {
	case r.Identity == port.IdentityOther:
		return merry.Prependf(port.ErrForeignAnswer, "status %d of another request", r.Status)
	case r.Identity == port.IdentityNone && proof == ByName && states:
		return merry.Prependf(port.ErrForeignAnswer, "status %d, not run, without the name of the request", r.Status)
	case r.Identity == port.IdentityNone && proof != ByKind && r.Reused:
		return merry.Prependf(port.ErrForeignAnswer, "status %d without the name of the request, on a used connection", r.Status)
	case r.Misdirected:
		return merry.Prependf(port.ErrMisdirected, "status %d", r.Status)
	case r.NotExecuted:
		return merry.Prependf(port.ErrRefused, "status %d", r.Status)
	}
	return nil
}
