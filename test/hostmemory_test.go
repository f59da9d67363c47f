package test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
	"github.com/dragonflyrail/dragonflyrail/platform/standin"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

// largeAnswers answers calls with 256 KB, half of them as streams of events of 4 KB.
func largeAnswers(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set("Dragonflyrail-Request-Id", r.Header.Get("Dragonflyrail-Request-Id"))
	w.Header().Set("Dragonflyrail-Response-Seal", "seal")
	part := strings.Repeat("x", 4<<10)
	if strings.HasSuffix(r.URL.Path, "/events") {
		w.Header().Set("Content-Type", "text/event-stream")
		part = "data: " + part + "\n\n"
	}
	for range 64 {
		if _, err := io.WriteString(w, part); err != nil {
			return true
		}
	}
	return true
}

// slowCaller sends a request and reads the status line and the header of its answer. It then
// reads nothing more, or a little from time to time.
func slowCaller(ctx context.Context, address string, number int) (res *http.Response, err error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { conn.Close() })
	path := "/safe/body"
	if number%2 == 1 {
		path = "/safe/events"
	}
	body := strings.Repeat("b", 2<<10)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nDragonflyrail-Request-Id: slow-%d\r\nDragonflyrail-Deadline-Remaining: 60000\r\nContent-Length: %d\r\n\r\n%s",
		path, standin.Host, standin.Key, number, len(body), body)
	res, err = http.ReadResponse(bufio.NewReaderSize(conn, 1<<10), nil)
	if err != nil {
		return nil, err
	}
	if number%4 < 2 {
		go func() {
			for {
				time.Sleep(200 * time.Millisecond)
				if _, err := io.CopyN(io.Discard, res.Body, 512); err != nil {
					return
				}
			}
		}()
	}
	return res, nil
}

// peakBytes returns the largest resident memory that a process has had.
func peakBytes(t *testing.T, pid int) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(raw), "VmHWM:")
	kib := 0
	if _, err := fmt.Sscan(after, &kib); err != nil {
		t.Fatal(err)
	}
	return kib << 10
}

// unreadBytes returns what the system holds of the answers from a local address.
func unreadBytes(t *testing.T, address string) (sum int) {
	t.Helper()
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	from := fmt.Sprintf("0100007F:%04X", netip.MustParseAddrPort(address).Port())
	for line := range strings.Lines(string(raw)) {
		// The fields are a number, the local and the remote address, the state and the
		// lengths of the send and the receive queue.
		if fields := strings.Fields(line); len(fields) > 4 && fields[2] == from {
			received := 0
			if _, err := fmt.Sscanf(fields[4][strings.Index(fields[4], ":")+1:], "%x", &received); err != nil {
				t.Fatal(err)
			}
			sum += received
		}
	}
	return sum
}

// Guards against a daemon that is killed for its memory by 2,000 callers that read slowly or
// not at all, that refuses without saying so, or that doesn't accept requests again.
func TestSlowReadersDontExhaustMemory(t *testing.T) {
	// The memory is in MB of 1,000,000 bytes.
	const callers, memoryMB = 2000, 112
	f := startFleet(t, func(l *testfleet.Layout) {
		l.Daemons, l.Engines, l.Plain = 1, 0, 0
		// Nothing renews the entry of the endpoint, which runs in this process.
		l.EntryTTL = time.Hour
		l.Settings = map[string]any{"capacity": map[string]any{"processor": 0.144, "link_mbps": 10, "memory_mb": memoryMB, "descriptors": 16384}}
	})
	d := f.Daemons[0]
	runner := &standin.Runner{ID: "endpoint"}
	runner.OnRequest(largeAnswers)
	server := httptest.NewServer(runner)
	defer server.Close()
	address := server.Listener.Addr().String()
	if err := f.Register(testContext(t), runner.ID, standin.PlainService, address, 0); err != nil {
		t.Fatal(err)
	}
	serves := func() bool {
		ctx, cancel := context.WithCancel(testContext(t))
		defer cancel()
		res, err := slowCaller(ctx, d.Callers, 2)
		return err == nil && res.StatusCode == http.StatusOK
	}
	procs.Until(t, "the daemon serves", serves)
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	var served, refused, failed, wrong atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			res, err := slowCaller(ctx, d.Callers, i)
			switch {
			case err != nil:
				failed.Add(1)
			case res.StatusCode == http.StatusOK:
				served.Add(1)
			case res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") == "1.000" && res.Close:
				refused.Add(1)
			default:
				wrong.Add(1)
			}
		})
	}
	wg.Wait()
	procs.Until(t, "the log states that new requests are refused", func() bool {
		return strings.Contains(string(d.Log()), `"event":"host_memory_bound","state":"refusing"`)
	})
	unread := unreadBytes(t, address)
	peak := peakBytes(t, d.PID())
	t.Logf("%d served, %d refused, %d without an answer, peak %.1f MB resident, %.1f MB received and unread",
		served.Load(), refused.Load(), failed.Load(), float64(peak)/1e6, float64(unread)/1e6)
	if peak+unread >= memoryMB*1_000_000 {
		t.Errorf("%.1f MB at a host of %d MB", float64(peak+unread)/1e6, memoryMB)
	}
	if served.Load() == 0 || refused.Load() == 0 || failed.Load()+wrong.Load() > 0 {
		t.Errorf("%d served, %d refused, %d without an answer, %d answered in another way", served.Load(), refused.Load(), failed.Load(), wrong.Load())
	}
	cancel()
	procs.Until(t, "the daemon accepts requests again", serves)
}
