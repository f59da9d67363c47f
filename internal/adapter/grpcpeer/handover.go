package grpcpeer

import (
	"context"
	"math"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/scheduling"
)

// Successor takes what the former coordinator of a pool has learned.
type Successor interface {
	// ReceiveHandOver returns scheduling.ErrHandOverUnsupported if this daemon takes no
	// handovers.
	ReceiveHandOver(m *port.HandOver) (accepted bool, err error)
}

// HandOver takes what the former coordinator of a pool has learned.
func (s *SchedulingService) HandOver(_ context.Context, r *peerv1.HandOverRequest) (*peerv1.HandOverReply, error) {
	if s.Successor == nil {
		return nil, status.Error(codes.Unimplemented, scheduling.ErrHandOverUnsupported.Error())
	}
	if n := proto.Size(r); n > routing.MaxHandOverBytes {
		return nil, status.Errorf(codes.InvalidArgument, "the message has %d bytes, more than %d", n, routing.MaxHandOverBytes)
	}
	accepted, err := s.Successor.ReceiveHandOver(handOverFromWire(time.Now(), r))
	if err != nil {
		return nil, status.Error(codes.Unimplemented, err.Error())
	}
	return &peerv1.HandOverReply{Accepted: accepted}, nil
}

// HandOver sends what this daemon has learned about a pool. It returns
// scheduling.ErrHandOverUnsupported if the peer does not take handovers.
func (p *SchedulingPeer) HandOver(ctx context.Context, m *port.HandOver) (accepted bool, err error) {
	if p.err != nil {
		return false, p.err
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	reply, err := peerv1.NewSchedulingClient(p.conn).HandOver(ctx, handOverToWire(time.Now(), m))
	switch {
	case status.Code(err) == codes.Unimplemented:
		return false, scheduling.ErrHandOverUnsupported
	case err != nil:
		return false, merry.Prepend(ErrPeerLost, err.Error())
	}
	return reply.GetAccepted(), nil
}

// handOverToWire converts times to differences from now, as the clocks of daemons are
// not compared.
func handOverToWire(now time.Time, m *port.HandOver) *peerv1.HandOverRequest {
	return &peerv1.HandOverRequest{
		Pool: m.Pool, Sender: m.Sender, Incarnation: m.Incarnation, Sequence: m.Sequence,
		AgeMillis: now.Sub(m.At).Milliseconds(),
		Speeds: mapSlice(m.Speeds, func(e port.EndpointSpeed) *peerv1.EndpointSpeed {
			return &peerv1.EndpointSpeed{
				Endpoint: e.Endpoint, Incarnation: e.Incarnation,
				StatedPercent: uint32(math.Round(min(math.MaxUint32, max(0, 100*e.Stated)))),
				StepMicros:    uint32(min(math.MaxUint32, max(0, e.Step.Microseconds()))),
			}
		}),
		Organisations: mapSlice(m.Organisations, func(u port.OrganisationUse) *peerv1.OrganisationUse {
			return &peerv1.OrganisationUse{
				Organisation: u.Organisation, Work: u.Work, Demand: u.Demand,
				ShortPerSecond: u.ShortPerSecond, LongPerSecond: u.LongPerSecond,
			}
		}),
		Bookings: mapSlice(m.Bookings, func(b port.RetryBooking) *peerv1.RetryBooking {
			return &peerv1.RetryBooking{Organisation: b.Organisation, Long: b.Long, DueMillis: b.Due.Sub(now).Milliseconds()}
		}),
	}
}

// maxWireMillis bounds received times, so that their conversion can't overflow.
const maxWireMillis = int64(24 * time.Hour / time.Millisecond)

func handOverFromWire(now time.Time, r *peerv1.HandOverRequest) *port.HandOver {
	return &port.HandOver{
		Pool: r.GetPool(), Sender: r.GetSender(), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(),
		At: now.Add(-millis(min(maxWireMillis, max(0, r.GetAgeMillis())))),
		Speeds: mapSlice(r.GetSpeeds(), func(e *peerv1.EndpointSpeed) port.EndpointSpeed {
			return port.EndpointSpeed{
				Endpoint: e.GetEndpoint(), Incarnation: e.GetIncarnation(),
				Stated: float64(e.GetStatedPercent()) / 100, Step: time.Duration(e.GetStepMicros()) * time.Microsecond,
			}
		}),
		Organisations: mapSlice(r.GetOrganisations(), func(u *peerv1.OrganisationUse) port.OrganisationUse {
			return port.OrganisationUse{
				Organisation: u.GetOrganisation(), Work: u.GetWork(), Demand: u.GetDemand(),
				ShortPerSecond: u.GetShortPerSecond(), LongPerSecond: u.GetLongPerSecond(),
			}
		}),
		Bookings: mapSlice(r.GetBookings(), func(b *peerv1.RetryBooking) port.RetryBooking {
			due := millis(min(maxWireMillis, max(-maxWireMillis, b.GetDueMillis())))
			return port.RetryBooking{Organisation: b.GetOrganisation(), Long: b.GetLong(), Due: now.Add(due)}
		}),
	}
}
