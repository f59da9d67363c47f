package httpanswer_test

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpanswer"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/rawserver"
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

// Guards against a part of a store's answer that counts as whole because the store ended its side before it reset the connection with the call unread.
func TestPartOfUnframedAnswerIsNoAnswer(t *testing.T) {
	address := rawserver.Serve(t, rawserver.Part("HTTP/1.1 404 Not Found\r\n\r\npart"))
	client := httpanswer.NewClient(&net.Dialer{})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+address, bytes.NewReader(make([]byte, rawserver.UploadBytes)))
	if err != nil {
		t.Fatal(err)
	}
	const timeout = 10 * time.Second
	if a, err := client.Do(r, httpanswer.Bounds{StartTimeout: timeout, IdleTimeout: timeout, MaxBytes: 100}); err == nil {
		t.Errorf("status %d with %q is an answer", a.Status, a.Body)
	}
}
