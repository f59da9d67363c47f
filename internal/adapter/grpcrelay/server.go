package grpcrelay

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/gateway"
)

// Application serves requests that other daemons pass on.
type Application interface {
	// AcceptRelayed admits a request, or returns why this daemon does not serve it.
	AcceptRelayed(r *gateway.RelayedRequest) *gateway.Refusal
	// ServeRelayed serves a request that was accepted. endpoint is the id of the last
	// endpoint that was tried.
	ServeRelayed(ctx context.Context, r *gateway.RelayedRequest, out gateway.Responder) (endpoint string, refusal *gateway.Refusal)
	// CheckEndpoint checks whether this daemon reaches an endpoint.
	CheckEndpoint(id string, incarnation uint64) (reached, known bool)
}

// Service serves the Relay service.
type Service struct {
	peerv1.UnimplementedRelayServer
	App Application
}

// Register registers the service with a server.
func (s *Service) Register(r grpc.ServiceRegistrar) { peerv1.RegisterRelayServer(r, s) }

// Serve serves one request that another daemon passes on.
func (s *Service) Serve(stream peerv1.Relay_ServeServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	header := first.GetHeader()
	if header == nil {
		return status.Error(codes.InvalidArgument, "the first message must be the header")
	}
	r := headerFromWire(time.Now(), header)
	if refusal := s.App.AcceptRelayed(r); refusal != nil {
		return stream.Send(endToWire(refusal, ""))
	}
	defer r.ReleaseMemory()
	if err := stream.Send(&peerv1.RelayReply{Part: &peerv1.RelayReply_Accepted{Accepted: &peerv1.RelayAccepted{}}}); err != nil {
		return err
	}
	if r.Body, err = receiveBody(stream, header.GetBodyBytes()); err != nil {
		return err
	}
	out := &responder{stream: stream}
	endpoint, refusal := s.App.ServeRelayed(stream.Context(), r, out)
	if err := out.send(false); err != nil {
		return err
	}
	return stream.Send(endToWire(refusal, endpoint))
}

// receiveBody receives a body of a known size, and that the request may run.
func receiveBody(stream peerv1.Relay_ServeServer, size uint64) ([]byte, error) {
	body := make([]byte, 0, size)
	for {
		m, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		if m.GetRun() {
			break
		}
		if uint64(len(body)+len(m.GetBody())) > size {
			return nil, status.Error(codes.InvalidArgument, "the body is longer than announced")
		}
		body = append(body, m.GetBody()...)
	}
	if uint64(len(body)) < size {
		return nil, status.Error(codes.InvalidArgument, "the body is shorter than announced")
	}
	return body, nil
}

// CheckEndpoint checks whether this daemon reaches an endpoint.
func (s *Service) CheckEndpoint(_ context.Context, r *peerv1.CheckEndpointRequest) (*peerv1.CheckEndpointReply, error) {
	reached, known := s.App.CheckEndpoint(r.GetEndpoint(), r.GetIncarnation())
	return &peerv1.CheckEndpointReply{Reached: reached, Known: known}, nil
}

// responder sends an answer to the daemon that passed the request on. It implements
// gateway.Responder.
type responder struct {
	stream peerv1.Relay_ServeServer
	// pending is the data written last, which is sent with the next call. An event and
	// its flush thus take one message.
	pending []byte
}

// Begin sends the status and header.
func (o *responder) Begin(status int, header http.Header, length int64) error {
	begin := &peerv1.RelayBegin{Status: uint32(status), Fields: fieldsToWire(header), Length: length}
	return o.stream.Send(&peerv1.RelayReply{Part: &peerv1.RelayReply_Begin{Begin: begin}})
}

// Write sends a part of the body, in messages of up to chunkBytes.
func (o *responder) Write(p []byte) error {
	for len(p) > 0 {
		if err := o.send(false); err != nil {
			return err
		}
		n := min(len(p), chunkBytes)
		o.pending = bytes.Clone(p[:n])
		p = p[n:]
	}
	return nil
}

// Flush has the other daemon send all data to the caller.
func (o *responder) Flush() error { return o.send(true) }

// send sends the pending data.
func (o *responder) send(flush bool) error {
	if len(o.pending) == 0 && !flush {
		return nil
	}
	data := &peerv1.RelayData{Data: o.pending, Flush: flush}
	o.pending = nil
	return o.stream.Send(&peerv1.RelayReply{Part: &peerv1.RelayReply_Data{Data: data}})
}
