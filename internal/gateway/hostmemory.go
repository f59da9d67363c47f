package gateway

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/hostmemory"
	"github.com/dragonflyrail/dragonflyrail/internal/core/unread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// HostMemory bounds the memory that this host uses for requests.
type HostMemory interface {
	// Reserve reserves memory for a new request with a body of up to bodyBytes, or returns
	// nil if the host accepts no new requests.
	Reserve(bodyBytes int64) MemoryReservation
}

// MemoryReservation is the memory that an accepted request is expected to need.
type MemoryReservation interface {
	// Settle states that a body of bodyBytes has been received, which is no more than was
	// reserved.
	Settle(bodyBytes int64)
	// Release must be called once, when the request has ended.
	Release()
}

// noReservation is the reservation of a request at a host whose memory isn't bounded.
type noReservation struct{}

func (noReservation) Settle(int64) {}
func (noReservation) Release()     {}

// memoryRetry is the retry time of requests that are refused because of the host's memory.
// By then callers have resolved the addresses again, or the host has taken new readings.
const memoryRetry = time.Second

// ReserveMemory reserves memory for a new request with a body of up to bodyBytes, or returns
// the refusal if this host has too little.
func (g *Gateway) ReserveMemory(bodyBytes int64) (MemoryReservation, *Refusal) {
	if g.Memory == nil {
		return noReservation{}, nil
	}
	if r := g.Memory.Reserve(bodyBytes); r != nil {
		return r, nil
	}
	g.metrics.refusedHostMemory.Inc(1)
	return nil, &Refusal{
		Cause: CauseHostMemory, RetryAfter: memoryRetry, Detail: "this host has too little memory left for new requests; another one serves",
	}
}

// answerMemory divides the memory for answers that are held whole. It is safe for concurrent
// use.
type answerMemory struct {
	mu     sync.Mutex
	budget hostmemory.AnswerBudget
}

func (m *answerMemory) take(total, length int64) (held int, taken int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Total = total
	return m.budget.Take(length)
}

func (m *answerMemory) giveBack(taken int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Return(taken)
}

// holdAnswer returns how many bytes of an answer are read before any of it is sent to the
// caller. What it takes of the memory for answers is given back by giveBackAnswers.
func (x *exchange) holdAnswer(length int64) int {
	if !x.bounded {
		return maxBuffered
	}
	held, taken := x.g.answers.take(x.g.options().AnswerMemory, length)
	x.answersTaken += taken
	if int64(held) == length {
		// The end of an answer is found only by a read beyond its last byte.
		held++
	}
	return held
}

// giveBackAnswers gives back the memory of the answers that the exchange has held.
func (x *exchange) giveBackAnswers() {
	if x.answersTaken > 0 {
		x.g.answers.giveBack(x.answersTaken)
		x.answersTaken = 0
	}
}

// boundedResponder writes an answer in pieces, so that the limit of one write applies to
// each piece, and notes how long the caller holds the answer up.
type boundedResponder struct {
	Responder
	x *exchange
}

// pieceBytes is the size of the pieces in which answers are written, and of the buffers that
// they are copied through.
const pieceBytes = 8 << 10

func (r boundedResponder) Begin(status int, header http.Header, length int64) error {
	return r.timed(func() error { return r.Responder.Begin(status, header, length) })
}

func (r boundedResponder) Write(p []byte) error {
	return r.timed(func() error {
		for len(p) > 0 {
			n := min(len(p), pieceBytes)
			if err := r.Responder.Write(p[:n]); err != nil {
				return err
			}
			p = p[n:]
		}
		return nil
	})
}

func (r boundedResponder) Flush() error { return r.timed(r.Responder.Flush) }

func (r boundedResponder) timed(write func() error) error {
	began := r.x.g.Clock()
	defer func() { r.x.unread.Wrote(r.x.g.Clock().Sub(began)) }()
	return write()
}

// observedBody is the body of an endpoint's answer whose reads are noted.
type observedBody struct {
	io.ReadCloser
	x *exchange
}

func (b observedBody) Read(p []byte) (int, error) {
	began := b.x.g.Clock()
	n, err := b.ReadCloser.Read(p)
	b.x.unread.Read(b.x.g.Clock().Sub(began))
	if err != nil && err != io.EOF {
		b.x.readFailed = true
	}
	return n, err
}

// observeReads notes the reads of an answer, on hosts whose memory is bounded.
func (x *exchange) observeReads(a *port.Answer) {
	if !x.bounded || a.Body == nil {
		return
	}
	x.unread, x.readFailed = unread.Answer{}, false
	if x.cause == CauseUnread {
		// The stream goes on at another endpoint.
		x.cause = ""
	}
	a.Body = observedBody{a.Body, x}
}

// abandonUnread ends an attempt whose answer broke off after its caller hadn't read it, and
// reports whether it did. Endpoints abort such answers, so this is no sign of a failure. If
// the endpoint is found to have ended, the request counts as one that it ran.
func (x *exchange) abandonUnread(p *placement, err error) bool {
	held := x.unread.HeldFor()
	if held == 0 {
		return false
	}
	x.cause = CauseUnread
	x.reason = "the answer broke off after its caller had not read it for " + held.Round(time.Millisecond).String() + ": " + err.Error()
	x.connectionLost, x.left = false, true
	x.g.metrics.attemptFailed("unread")
	x.endAttempt(p, port.FinishCancelled)
	return true
}
