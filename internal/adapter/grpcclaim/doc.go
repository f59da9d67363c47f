// Package grpcclaim carries at-most-once claims between routers and keepers
// over gRPC. A router uses Client, which implements port.Claimer. A keeper
// uses Server, which stores the claims in a Store.
package grpcclaim
