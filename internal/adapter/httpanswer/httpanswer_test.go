package httpanswer_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpanswer"
)

// A call over a slow link fails because the time to connect counts against its response.
func TestSlowConnectLeavesTimeForTheResponse(t *testing.T) {
	t.Parallel()
	const timeout, delay = 2 * time.Second, 1200 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-time.After(delay) }))
	defer server.Close()
	client := httpanswer.NewClient(&net.Dialer{Control: func(string, string, syscall.RawConn) error {
		<-time.After(delay)
		return nil
	}})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Do(r, httpanswer.Bounds{StartTimeout: timeout, IdleTimeout: timeout, MaxBytes: 1}); err != nil {
		t.Fatal(err)
	}
}
