// Package router connects the decision logic of internal/core with the ports: it
// admits a request, places it on an endpoint, follows its stream and records its
// outcome. It contains no HTTP or gRPC transport code.
package router
