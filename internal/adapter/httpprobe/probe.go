// Package httpprobe reads an endpoint's load report with GET /v1/load.
package httpprobe

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpstrict"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const (
	maxReportBytes = 64 << 10
	idleTimeout    = 30 * time.Second
)

// ErrNoReport is returned if the endpoint does not answer with a load report.
var ErrNoReport = merry.Sentinel("probe: no load report")

// Client probes endpoints.
type Client struct{ http *http.Client }

// New returns a Client without a timeout of its own; the context limits each
// probe.
func New() *Client {
	return &Client{http: &http.Client{
		Transport:     httpstrict.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Load reads the endpoint's load report.
func (c *Client) Load(ctx context.Context, e port.Endpoint) (port.LoadReport, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/v1/load", http.NoBody)
	if err != nil {
		return port.LoadReport{}, merry.Prepend(ErrNoReport, err.Error())
	}
	res, err := c.http.Do(r)
	if err != nil {
		return port.LoadReport{}, merry.Prepend(ErrNoReport, err.Error())
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return port.LoadReport{}, merry.Prependf(ErrNoReport, "status %d", res.StatusCode)
	}
	var report port.LoadReport
	raw, err := httpstrict.ReadAll(res.Body, maxReportBytes)
	if err == nil {
		err = json.Unmarshal(raw, &report)
	}
	if err != nil {
		return port.LoadReport{}, merry.Prepend(ErrNoReport, err.Error())
	}
	return report, nil
}
