package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"google.golang.org/grpc"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcclaim"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpplatform"
	"github.com/dragonflyrail/dragonflyrail/internal/claimstore"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/platform"
)

// system holds a platform stand-in, a service, keepers and the routers' claim
// clients, all in this process.
type system struct {
	platformURL string
	serviceURL  string
	clients     []*grpcclaim.Client
	http        *http.Client
	closers     []func()
}

// keeper serves the claim methods of the keeper service. The other methods are
// unimplemented.
type keeper struct {
	peerv1.UnimplementedKeeperServer
	claims *grpcclaim.Server
}

func (k *keeper) Claim(ctx context.Context, in *peerv1.ClaimRequest) (*peerv1.ClaimReply, error) {
	return k.claims.Claim(ctx, in)
}

func (k *keeper) Settle(ctx context.Context, in *peerv1.SettleRequest) (*peerv1.SettleReply, error) {
	return k.claims.Settle(ctx, in)
}

func (k *keeper) LookupClaim(ctx context.Context, in *peerv1.LookupClaimRequest) (*peerv1.LookupClaimReply, error) {
	return k.claims.LookupClaim(ctx, in)
}

func newSystem(c *ratesCommand) (*system, error) {
	o := platform.DefaultOptions()
	o.WritesPerSecond = c.Platform
	sys := &system{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	var err error
	if sys.platformURL, err = sys.serveHTTP(platform.New(o)); err != nil {
		return nil, err
	}
	if err := sys.setPlatformDelay(c.SlowMs); err != nil {
		return nil, err
	}
	sys.serviceURL, err = sys.serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	if err != nil {
		return nil, err
	}
	var addresses []string
	for range c.Keepers {
		address, err := sys.serveKeeper(c)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	for range c.Routers {
		sys.clients = append(sys.clients, grpcclaim.NewClient(grpcclaim.Options{
			Keepers: func() []string { return addresses }, Partitions: c.Shards,
		}))
	}
	return sys, nil
}

func (s *system) serveHTTP(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return "http://" + l.Addr().String(), nil
}

func (s *system) serveKeeper(c *ratesCommand) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	store := claimstore.New(claimstore.Options{
		Platform: httpplatform.New(httpplatform.Options{BaseURL: s.platformURL}),
		Shards:   c.Shards, WritesPerSecond: c.Writes, Keepers: func() int { return c.Keepers },
	})
	g := grpc.NewServer()
	peerv1.RegisterKeeperServer(g, &keeper{claims: grpcclaim.NewServer(store)})
	go func() { _ = g.Serve(l) }()
	s.closers = append(s.closers, g.Stop)
	return l.Addr().String(), nil
}

func (s *system) setPlatformDelay(ms int) error {
	body := strings.NewReader(fmt.Sprintf(`{"slow_ms":%d}`, ms))
	r, err := http.NewRequest(http.MethodPut, s.platformURL+"/standin/faults", body)
	if err != nil {
		return err
	}
	res, err := s.http.Do(r)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// callService makes one call to the service and ignores the result.
func (s *system) callService() {
	res, err := s.http.Post(s.serviceURL+"/entry", "application/json", strings.NewReader(`{"keg":1}`))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

// platformStats holds the counters of the platform stand-in.
type platformStats struct {
	Writes    int64 `json:"writes"`
	Reads     int64 `json:"reads"`
	Conflicts int64 `json:"conflicts"`
}

func (s *system) stats() (platformStats, error) {
	var out platformStats
	res, err := s.http.Get(s.platformURL + "/standin/stats")
	if err != nil {
		return out, err
	}
	defer res.Body.Close()
	return out, json.NewDecoder(res.Body).Decode(&out)
}

func (s *system) close() {
	for _, c := range s.clients {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		c.Close(ctx)
		cancel()
	}
	for _, f := range s.closers {
		f()
	}
}
