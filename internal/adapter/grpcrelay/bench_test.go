package grpcrelay_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"

	"google.golang.org/grpc"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcrelay"
	"github.com/dragonflyrail/dragonflyrail/internal/gateway"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// startBenchPeer serves an application on loopback.
func startBenchPeer(b *testing.B, app *fakeApplication) *port.Member {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := grpc.NewServer(grpcpeer.ServerOptions()...)
	(&grpcrelay.Service{App: app}).Register(server)
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(server.Stop)
	return &port.Member{ID: "peer", PeerAddress: listener.Addr().String()}
}

// BenchmarkRelay measures a request that is passed on, at both daemons together: a call
// with an answer of 800 bytes, and a stream of 60 events.
func BenchmarkRelay(b *testing.B) {
	call := func(_ context.Context, _ *gateway.RelayedRequest, out gateway.Responder) *gateway.Refusal {
		_ = out.Begin(200, http.Header{"X-Seal": {"s"}}, 800)
		_ = out.Write(make([]byte, 800))
		return nil
	}
	stream := func(_ context.Context, _ *gateway.RelayedRequest, out gateway.Responder) *gateway.Refusal {
		_ = out.Begin(200, http.Header{"X-Seal": {"s"}}, -1)
		for range 60 {
			_ = out.Write([]byte("id: 12\ndata: 0123456789abcdef0123456789abcdef\n\n"))
			_ = out.Flush()
		}
		return nil
	}
	for name, serve := range map[string]func(context.Context, *gateway.RelayedRequest, gateway.Responder) *gateway.Refusal{"call": call, "stream of 60 events": stream} {
		b.Run(name, func(b *testing.B) {
			peer := startBenchPeer(b, &fakeApplication{serve: serve})
			c := grpcrelay.NewClient()
			defer c.Close()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Relay(b.Context(), peer, testRequest(nil), &recorder{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkOpenRelays reports the memory of a relayed stream that is open, at both daemons
// together.
func BenchmarkOpenRelays(b *testing.B) {
	const open = 500
	for b.Loop() {
		release, running := make(chan struct{}), make(chan struct{}, open)
		peer := startBenchPeer(b, &fakeApplication{serve: func(context.Context, *gateway.RelayedRequest, gateway.Responder) *gateway.Refusal {
			running <- struct{}{}
			<-release
			return nil
		}})
		c := grpcrelay.NewClient()
		before := memory()
		var wg sync.WaitGroup
		for range open {
			wg.Go(func() { _, _ = c.Relay(b.Context(), peer, testRequest(nil), &recorder{}) })
		}
		for range open {
			<-running
		}
		b.ReportMetric(float64(memory()-before)/open, "B/relay")
		close(release)
		wg.Wait()
		c.Close()
	}
}

// memory returns the bytes of heap and stacks in use.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
