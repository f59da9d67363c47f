package grpcrelay

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/gateway"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Limits of the client.
const (
	// acceptTimeout bounds the time until a peer accepts a request. It is much longer
	// than a round trip, and short enough to ask another peer.
	acceptTimeout = 250 * time.Millisecond
	// bodyTimeout bounds the time in which a peer takes the body.
	bodyTimeout = time.Second
	// checkTimeout bounds a check of an endpoint by a peer.
	checkTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection to a peer is kept.
	idleTimeout = 30 * time.Second
	// maxPeers bounds the peers whose connections are kept.
	maxPeers = 512
)

// Client passes requests on to other daemons. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	// answerWindow bounds the bytes of each answer that are received before they are
	// passed on; zero means the usual bound.
	answerWindow int32
}

var _ gateway.Relayer = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: make(map[string]*grpc.ClientConn)} }

// NewBoundedClient returns a client that receives up to answerWindow bytes of each answer
// before they are passed on. grpc-go ignores a window of less than 64 KiB - 1.
func NewBoundedClient(answerWindow int32) *Client {
	c := NewClient()
	c.answerWindow = answerWindow
	return c
}

// conn returns the connection to a peer address, which connects at the first call.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	if len(c.conns) >= maxPeers {
		c.closeAll()
	}
	options := []grpc.DialOption{grpc.WithIdleTimeout(idleTimeout)}
	if c.answerWindow > 0 {
		options = append(options, grpc.WithInitialWindowSize(c.answerWindow))
	}
	conn, err := grpcpeer.Dial(address, options...)
	if err != nil {
		return nil, err
	}
	c.conns[address] = conn
	return conn, nil
}

// closeAll closes all connections. The caller must hold c.mu.
func (c *Client) closeAll() {
	for address, conn := range c.conns {
		// The error is ignored: peers detect the closed connection.
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAll()
}

// Relay passes a request on to a peer and its answer on to the caller.
func (c *Client) Relay(ctx context.Context, peer *port.Member, r *gateway.RelayedRequest, out gateway.Responder) (*gateway.RelayResult, error) {
	conn, err := c.conn(peer.PeerAddress)
	if err != nil {
		return nil, merry.Prepend(gateway.ErrRelayNotAccepted, err.Error())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sending := time.AfterFunc(acceptTimeout, cancel)
	defer sending.Stop()
	stream, refused, err := openRelay(ctx, conn, r)
	if err != nil {
		return nil, merry.Prepend(gateway.ErrRelayNotAccepted, err.Error())
	}
	if refused != nil {
		return refused, nil
	}
	sending.Reset(bodyTimeout)
	if err := sendBody(stream, r.Body); err != nil {
		return nil, merry.Prepend(gateway.ErrRelayNotAccepted, err.Error())
	}
	if !sending.Stop() {
		return nil, merry.Prepend(gateway.ErrRelayNotAccepted, "the peer did not take the body in time")
	}
	// From here on the request may run, whether or not Send fails.
	if err := stream.Send(&peerv1.RelayRequest{Part: &peerv1.RelayRequest_Run{Run: true}}); err != nil && err != io.EOF {
		return nil, merry.Prepend(gateway.ErrRelayLost, err.Error())
	}
	return receiveAnswer(stream, out)
}

// openRelay sends the header of a request and waits until the peer has accepted it. It
// returns the result if the peer has refused it.
func openRelay(ctx context.Context, conn *grpc.ClientConn, r *gateway.RelayedRequest) (peerv1.Relay_ServeClient, *gateway.RelayResult, error) {
	stream, err := peerv1.NewRelayClient(conn).Serve(ctx)
	if err != nil {
		return nil, nil, err
	}
	header := headerToWire(time.Now(), r)
	if err := stream.Send(&peerv1.RelayRequest{Part: &peerv1.RelayRequest_Header{Header: header}}); err != nil && err != io.EOF {
		return nil, nil, err
	}
	reply, err := stream.Recv()
	if err != nil {
		return nil, nil, err
	}
	if end := reply.GetEnd(); end != nil {
		return nil, endFromWire(end), nil
	}
	return stream, nil, nil
}

func sendBody(stream peerv1.Relay_ServeClient, body []byte) error {
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		if err := stream.Send(&peerv1.RelayRequest{Part: &peerv1.RelayRequest_Body{Body: body[:n]}}); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// receiveAnswer passes the answer on to the caller.
func receiveAnswer(stream peerv1.Relay_ServeClient, out gateway.Responder) (*gateway.RelayResult, error) {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return nil, merry.Prepend(gateway.ErrRelayLost, err.Error())
		}
		switch part := reply.GetPart().(type) {
		case *peerv1.RelayReply_Begin:
			err = out.Begin(int(part.Begin.GetStatus()), fieldsFromWire(part.Begin.GetFields()), part.Begin.GetLength())
		case *peerv1.RelayReply_Data:
			err = writeData(out, part.Data)
		case *peerv1.RelayReply_End:
			return endFromWire(part.End), nil
		}
		if err != nil {
			return nil, merry.Wrap(gateway.ErrRelayCallerGone, merry.WithCause(err))
		}
	}
}

func writeData(out gateway.Responder, d *peerv1.RelayData) error {
	if len(d.GetData()) > 0 {
		if err := out.Write(d.GetData()); err != nil {
			return err
		}
	}
	if d.GetFlush() {
		return out.Flush()
	}
	return nil
}

// CheckEndpoint asks a peer whether it reaches an endpoint. known is false if the peer
// gave no usable answer.
func (c *Client) CheckEndpoint(ctx context.Context, peer *port.Member, e port.Endpoint) (reached, known bool) {
	conn, err := c.conn(peer.PeerAddress)
	if err != nil {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	reply, err := peerv1.NewRelayClient(conn).CheckEndpoint(ctx, &peerv1.CheckEndpointRequest{Endpoint: e.ID, Incarnation: e.Incarnation})
	if err != nil {
		return false, false
	}
	return reply.GetReached(), reply.GetKnown()
}
