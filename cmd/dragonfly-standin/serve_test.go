package main

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
)

// Guards against requests that a stand-in handles before its logger is set. A fleet's
// runner then has no record of a request that it ran.
func TestStandinIsPreparedBeforeItHandlesRequests(t *testing.T) {
	c := &common{Listen: "127.0.0.1:0", ID: "s"}
	var isPrepared atomic.Bool
	handled, answered := make(chan bool, 1), make(chan error, 1)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled <- isPrepared.Load() })
	prepare := func(*log.Logger) {
		url := "http://" + c.Listen + "/"
		go func() {
			answer, err := http.Get(url)
			if err == nil {
				err = answer.Body.Close()
			}
			answered <- err
		}()
		// Long enough for the request to arrive.
		time.Sleep(100 * time.Millisecond)
		isPrepared.Store(true)
	}
	// It serves until the process ends.
	go func() { _ = c.serveWith("test", handler, hooks{prepare: prepare}) }()
	if !<-handled {
		t.Error("a request was handled before the stand-in was prepared")
	}
	if err := <-answered; err != nil {
		t.Error(err)
	}
}
