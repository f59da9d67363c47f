package router

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/crashwatch"
)

// errEndedWithEndpoint means that a reply which ends with its connection ended because its
// endpoint did, or that nothing shows the contrary.
var errEndedWithEndpoint = merry.Sentinel("router: nothing shows that the endpoint has outlived its reply")

// maxEvidenceWait bounds the wait for evidence that the reply to a call is whole which another
// endpoint can answer.
const maxEvidenceWait = 1200 * time.Millisecond

// endOfReply decides whether a reply that ends with its connection is whole: the end of an
// endpoint closes its connections just as the end of a reply does.
type endOfReply struct {
	watch   *crashwatch.Watch
	watched *crashwatch.Attempt
	// wait bounds the wait for evidence.
	wait time.Duration
}

// confirm returns errEndedWithEndpoint unless the endpoint is known to have outlived the reply.
func (e *endOfReply) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, e.wait)
	defer cancel()
	if isWhole, _ := e.watch.EndWithConnection(ctx, e.watched); !isWhole {
		return errEndedWithEndpoint
	}
	return nil
}

// unframedRest is the rest of a reply that ends with its connection.
type unframedRest struct {
	io.ReadCloser
	ctx context.Context
	end *endOfReply
	// isConfirmed is set once the reply is known to be whole.
	isConfirmed bool
}

// Read implements io.Reader. It returns io.EOF only if the reply is whole.
func (r *unframedRest) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) || r.isConfirmed {
		return n, err
	}
	if cut := r.end.confirm(r.ctx); cut != nil {
		return n, cut
	}
	r.isConfirmed = true
	return n, err
}

// Close implements io.Closer.
func (r *unframedRest) Close() error {
	// It has no effect on an attempt that has ended.
	r.end.watch.End(r.end.watched, false)
	return r.ReadCloser.Close()
}
