package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answered is what a client got for one request; status is zero if it got no whole answer.
type answered struct {
	status int
	seal   string
	body   string
}

// clients send requests to the daemons, each with an id of its own.
type clients struct {
	fleet  *fleet
	client *http.Client

	mu      sync.Mutex
	answers map[string]answered
}

// lastID is the id of the last request of all clients.
var lastID atomic.Int64

func newClients(f *fleet) *clients {
	return &clients{
		fleet: f, answers: map[string]answered{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 12 * time.Second}},
	}
}

// run sends requests at a rate until the context ends, and waits for their answers.
func (c *clients) run(ctx context.Context, perSecond float64, method, prefix string) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		pause := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		open.Go(func() { c.send(method, prefix) })
	}
}

// send sends one request to one of the daemons that the directory names.
func (c *clients) send(method, prefix string) {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	d := c.fleet.daemons[rand.IntN(len(c.fleet.daemons))]
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("lookup of keg " + id)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+prefix+"2f", body)
	if err != nil {
		return
	}
	r.Host = hostName
	r.Header.Set("Dragonflyrail-Request-Id", id)
	r.Header.Set("Dragonflyrail-Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	c.fleet.record.add("client sends %s %s%s to %s", id, method, prefix, d.name)
	got := c.receive(r)
	c.fleet.record.add("client gets %d, %d bytes, for %s", got.status, len(got.body), id)
	c.mu.Lock()
	c.answers[id] = got
	c.mu.Unlock()
}

func (c *clients) receive(r *http.Request) answered {
	res, err := c.client.Do(r)
	if err != nil {
		return answered{}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answered{}
	}
	return answered{status: res.StatusCode, seal: res.Header.Get("Dragonflyrail-Response-Seal"), body: string(body)}
}

// all returns the answers by the ids of their requests.
func (c *clients) all() map[string]answered {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]answered, len(c.answers))
	for id, a := range c.answers {
		out[id] = a
	}
	return out
}
