package grpcclaim

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/peer"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// claimBatch is a batch of claims that is sent to one keeper after another until
// each claim has a verdict.
type claimBatch struct {
	claims  []*pendingClaim
	results []claim.Result
	// undecided holds the indexes of the claims without a final verdict.
	undecided []int
	// uncertain is set if an earlier keeper may still write the undecided claims.
	uncertain bool
}

func newClaimBatch(claims []*pendingClaim) *claimBatch {
	a := &claimBatch{claims: claims, results: make([]claim.Result, len(claims))}
	for i := range claims {
		a.undecided = append(a.undecided, i)
		a.results[i] = claim.Result{Verdict: port.ClaimUnavailable, Reason: claim.ReasonPlatform}
	}
	return a
}

func (a *claimBatch) call(ctx context.Context, k peerv1.KeeperClient) (*peerv1.ClaimReply, error) {
	request := &peerv1.ClaimRequest{Entries: make([]*peerv1.ClaimEntry, len(a.undecided))}
	for n, i := range a.undecided {
		request.Entries[n] = entryToWire(&a.claims[i].entry)
	}
	var remote peer.Peer
	reply, err := k.Claim(ctx, request, grpc.Peer(&remote))
	// Without a remote address the call had no connection, and nothing was sent.
	if err != nil && remote.Addr != nil {
		a.markUncertain()
	}
	return reply, err
}

// applyReply stores the verdicts of a reply. It returns ErrUnavailable if claims
// remain undecided, because the keeper could not reach the platform or the reply
// is invalid. They are then sent to another keeper.
func (a *claimBatch) applyReply(reply *peerv1.ClaimReply) error {
	if len(reply.GetResults()) != len(a.undecided) {
		a.markUncertain()
		return ErrUnavailable
	}
	var remaining []int
	for n, i := range a.undecided {
		r := resultFromWire(reply.GetResults()[n])
		switch {
		case r.Verdict != port.ClaimUnavailable:
			a.results[i] = r
		case !retryAtAnotherKeeper(&r) && a.uncertain:
			a.results[i] = unsettled
		case !retryAtAnotherKeeper(&r):
			a.results[i] = r
		case r.Reason == claim.ReasonUnsettled || a.uncertain:
			a.results[i] = unsettled
			remaining = append(remaining, i)
		default:
			remaining = append(remaining, i)
		}
	}
	a.undecided = remaining
	if len(remaining) > 0 {
		return ErrUnavailable
	}
	return nil
}

// markUncertain records that the keeper may have written the undecided claims, or
// may still do so.
func (a *claimBatch) markUncertain() {
	a.uncertain = true
	for _, i := range a.undecided {
		a.results[i] = unsettled
	}
}

// retryAtAnotherKeeper reports whether the keeper could not reach the platform,
// which another keeper may still be able to do.
func retryAtAnotherKeeper(r *claim.Result) bool {
	return r.Verdict == port.ClaimUnavailable &&
		(r.Reason == claim.ReasonPlatform || r.Reason == claim.ReasonUnsettled)
}
