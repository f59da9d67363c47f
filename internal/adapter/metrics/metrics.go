// Package metrics exports a go-metrics registry as JSON over HTTP. Metric names
// are in snake case and end in their unit, for example request_first_token_ms.
package metrics

import (
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"
)

// Handler serves the registry as one JSON object.
func Handler(r gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		gometrics.WriteJSONOnce(r, w)
	})
}
