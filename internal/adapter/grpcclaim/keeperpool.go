package grpcclaim

import (
	"context"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"google.golang.org/grpc"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
)

// keeperPool holds the connections to keepers and ranks the keepers for each
// partition.
type keeperPool struct {
	opts *Options

	mu    sync.Mutex
	conns map[string]grpc.ClientConnInterface
	// demotedUntil maps the address of a keeper whose call failed to the time until
	// which it is called last.
	demotedUntil map[string]time.Time
}

func newKeeperPool(o *Options) *keeperPool {
	return &keeperPool{opts: o, conns: map[string]grpc.ClientConnInterface{}, demotedUntil: map[string]time.Time{}}
}

// callInOrder calls the keepers in the order of the partition until a call succeeds.
func (k *keeperPool) callInOrder(ctx context.Context, partition int, timeout time.Duration, call func(context.Context, peerv1.KeeperClient) error) error {
	err := error(ErrNoKeeper)
	for _, address := range k.ranked(partition) {
		if ctx.Err() != nil {
			return err
		}
		if err = k.call(ctx, address, timeout, call); err == nil {
			return nil
		}
		k.demote(address)
	}
	return err
}

func (k *keeperPool) call(ctx context.Context, address string, timeout time.Duration, call func(context.Context, peerv1.KeeperClient) error) error {
	conn, err := k.conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx, peerv1.NewKeeperClient(conn))
}

// ranked returns at most MaxTries addresses in the order in which to call them. All
// routers with the same list of keepers prefer the same one for a partition, so that
// it can write their claims in large batches.
func (k *keeperPool) ranked(partition int) []string {
	remaining := slices.Sorted(slices.Values(k.opts.Keepers()))
	remaining = slices.Compact(remaining)
	now := k.opts.Now()
	var preferred, demoted []string
	for len(remaining) > 0 {
		best := rendezvous.New(remaining, xxhash.Sum64String).Lookup(strconv.Itoa(partition))
		remaining = slices.DeleteFunc(remaining, func(a string) bool { return a == best })
		if k.isDemoted(best, now) {
			demoted = append(demoted, best)
		} else {
			preferred = append(preferred, best)
		}
	}
	all := append(preferred, demoted...)
	return all[:min(len(all), k.opts.MaxTries)]
}

func (k *keeperPool) isDemoted(address string, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	until, found := k.demotedUntil[address]
	if found && !now.Before(until) {
		delete(k.demotedUntil, address)
		return false
	}
	return found
}

func (k *keeperPool) demote(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.demotedUntil[address] = k.opts.Now().Add(k.opts.DemotionPeriod)
}

func (k *keeperPool) conn(address string) (grpc.ClientConnInterface, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if conn, found := k.conns[address]; found {
		return conn, nil
	}
	conn, err := k.opts.Dial(address)
	if err != nil {
		return nil, err
	}
	k.dropUnused()
	k.conns[address] = conn
	return conn, nil
}

// dropUnused closes the connections to keepers that are no longer listed. It runs
// whenever a new connection is opened, so that connections to replaced hosts don't
// accumulate.
func (k *keeperPool) dropUnused() {
	known := k.opts.Keepers()
	for address, conn := range k.conns {
		if !slices.Contains(known, address) {
			closeConn(conn)
			delete(k.conns, address)
		}
	}
}

func (k *keeperPool) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for address, conn := range k.conns {
		closeConn(conn)
		delete(k.conns, address)
	}
}

func closeConn(conn grpc.ClientConnInterface) {
	if c, ok := conn.(io.Closer); ok {
		_ = c.Close()
	}
}
