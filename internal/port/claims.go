package port

import "context"

// Claimer records at-most-once claims before dispatch.
type Claimer interface {
	// Claim requests the key before the call is dispatched. Only the verdict
	// granted permits the dispatch. With the verdict held, the state is that of
	// the holder.
	Claim(ctx context.Context, e ClaimEntry) (ClaimVerdict, ClaimState, error)
	// Settle records the outcome of a granted claim. The outcome not_run frees the
	// key. Settle does not wait for the platform.
	Settle(s ClaimState)
	// Lookup reads the stored state of a key.
	Lookup(ctx context.Context, keyHash [16]byte) (ClaimState, bool, error)
}
