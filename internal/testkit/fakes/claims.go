package fakes

import (
	"context"
	"errors"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Claims is an in-memory claim store shared by the routers of a test.
type Claims struct {
	mu sync.Mutex
	// Held contains the claims by key hash. Down makes Claim fail as unavailable.
	// Settled contains all settled states in the order of their arrival.
	Held        map[[16]byte]port.ClaimState
	Unavailable bool
	Settled     []port.ClaimState
}

// NewClaims returns an empty claim store.
func NewClaims() *Claims { return &Claims{Held: map[[16]byte]port.ClaimState{}} }

// Claim grants a key that has no claim, and otherwise returns the existing claim.
func (c *Claims) Claim(_ context.Context, e port.ClaimEntry) (port.ClaimVerdict, port.ClaimState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Unavailable {
		return port.ClaimUnavailable, port.ClaimState{}, errors.New("down")
	}
	if held, ok := c.Held[e.KeyHash]; ok {
		return port.ClaimHeld, held, nil
	}
	c.Held[e.KeyHash] = port.ClaimState{
		KeyHash: e.KeyHash, RequestID: e.RequestID, AttemptID: e.AttemptID, Outcome: port.ClaimUnsettled,
	}
	return port.ClaimGranted, port.ClaimState{}, nil
}

// Settle stores the outcome of a claim. The outcome not_run deletes the claim, so
// that the key can be claimed again.
func (c *Claims) Settle(s port.ClaimState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Settled = append(c.Settled, s)
	if s.Outcome == port.ClaimNotRun {
		delete(c.Held, s.KeyHash)
		return
	}
	c.Held[s.KeyHash] = s
}

// Lookup returns the state of a key.
func (c *Claims) Lookup(_ context.Context, key [16]byte) (port.ClaimState, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.Held[key]
	return s, ok, nil
}
