package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/platform"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/switches"
)

// callTimeout bounds each HTTP call made by Call.
const callTimeout = 10 * time.Second

// Reply is an HTTP response with its whole body.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decode unmarshals the JSON body into out.
func (r *Reply) Decode(out any) error {
	if err := json.Unmarshal(r.Body, out); err != nil {
		return fmt.Errorf("decode response body: %w in %.200s", err, r.Body)
	}
	return nil
}

// Call sends a request and reads the whole response. A body other than nil is
// sent as JSON.
func Call(ctx context.Context, method, url string, header http.Header, body any) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(raw)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	return &Reply{Status: res.StatusCode, Header: res.Header, Body: raw}, nil
}

// Admin calls a daemon's admin API. A match of "*" makes the request conditional
// on the resource not existing; any other text is the required entity tag.
func Admin(ctx context.Context, d *Daemon, method, path, match string, body any) (*Reply, error) {
	header := http.Header{"Authorization": {"Bearer " + AdminToken}}
	switch match {
	case "":
	case "*":
		header.Set("If-None-Match", "*")
	default:
		header.Set("If-Match", match)
	}
	return Call(ctx, method, d.AdminURL()+path, header, body)
}

// SetFaults replaces the injected faults of a stand-in.
func SetFaults(ctx context.Context, d *Daemon, faults any) error {
	return SetFaultsAt(ctx, d.URL(), faults)
}

// SetFaultsAt replaces the injected faults of the stand-in at a base URL.
func SetFaultsAt(ctx context.Context, url string, faults any) error {
	return put(ctx, url+switches.FaultsPath, faults)
}

// Trigger sends a PUT with an empty JSON object, which triggers the stand-in's
// action at that URL.
func Trigger(ctx context.Context, url string) error { return put(ctx, url, struct{}{}) }

// ReadStats reads a stand-in's counters.
func ReadStats(ctx context.Context, d *Daemon, out any) error {
	return ReadStatsAt(ctx, d.URL(), out)
}

// ReadStatsAt reads the counters of the stand-in at a base URL.
func ReadStatsAt(ctx context.Context, url string, out any) error {
	reply, err := Call(ctx, http.MethodGet, url+switches.StatsPath, nil, nil)
	if err != nil {
		return err
	}
	return reply.Decode(out)
}

// PublishHosts sets the platform's host list to the endpoints of this system.
func (s *System) PublishHosts(ctx context.Context) error {
	return s.SetHosts(ctx, s.Endpoints())
}

// SetHosts replaces the platform's host list.
func (s *System) SetHosts(ctx context.Context, list []port.Endpoint) error {
	return put(ctx, s.Platform.URL()+"/standin/hosts", platform.HostList{Endpoints: list})
}

func put(ctx context.Context, url string, body any) error {
	reply, err := Call(ctx, http.MethodPut, url, nil, body)
	if err != nil {
		return err
	}
	if reply.Status != http.StatusOK {
		return fmt.Errorf("PUT %s: unexpected status %d: %s", url, reply.Status, reply.Body)
	}
	return nil
}
