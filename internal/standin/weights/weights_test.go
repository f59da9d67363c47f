package weights

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestReadersShareRateLimit(t *testing.T) {
	s := New(Options{BytesPerSecond: 4 << 20, ModelBytes: 256 << 10})
	server := httptest.NewServer(s)
	defer server.Close()
	start := time.Now()
	done := make(chan int64, 4)
	for range 4 {
		go func() {
			res, err := http.Get(server.URL + "/v1/weights/m/1")
			if err != nil {
				done <- 0
				return
			}
			defer res.Body.Close()
			n, _ := io.Copy(io.Discard, res.Body)
			done <- n
		}()
	}
	for range 4 {
		if n := <-done; n != 256<<10 {
			t.Fatalf("read %d bytes, want the whole model", n)
		}
	}
	// One megabyte at four megabytes per second takes 250 ms, less the time of
	// the first chunk, which the burst of the rate limit sends at once.
	if got := time.Since(start); got < 200*time.Millisecond {
		t.Fatalf("four readers took %v, too short for the shared rate limit", got)
	}
	if got := s.Stats(); got.Reads != 4 || got.Bytes != 1<<20 {
		t.Fatalf("stats %+v", got)
	}
}

func TestDownRefusesReads(t *testing.T) {
	s := New(Options{BytesPerSecond: 1 << 20, ModelBytes: 1})
	s.faults.Set(Faults{Down: true})
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/weights/m/1", nil))
	if w.Code != http.StatusServiceUnavailable {
		t.Fatalf("status %d", w.Code)
	}
}
