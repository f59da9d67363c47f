package oncehttp

import (
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/reply"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// CheckHead decides what the head of a response of a Client proves about the request for which
// it was read. identity is what the head shows of its request; notExecuted means that it states
// that the request did not run, for which CheckHead returns port.ErrRefused. If the response may
// be that to another request, CheckHead closes its connection, as the answer may still arrive on
// it, and returns port.ErrEndpointLost.
func CheckHead(res *http.Response, identity port.Identity, proof reply.Proof, notExecuted bool) error {
	head := port.Reply{Status: res.StatusCode, Identity: identity, NotExecuted: notExecuted}
	if body, ok := res.Body.(*responseBody); ok {
		head.Reused = body.sent.reused.Load()
	}
	err := reply.Check(&head, proof)
	if errors.Is(err, port.ErrForeignAnswer) {
		CloseConnection(res)
		return merry.Wrap(port.ErrEndpointLost, merry.WithCause(err))
	}
	return err
}
