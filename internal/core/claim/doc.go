// Package claim implements at-most-once claims of idempotency keys. A Shard is
// one part of the key space and is stored in one platform object. Every change of
// a stored shard goes through the platform's compare-and-set, so that each shard
// has a single linear history.
//
// A key is granted at most once, unless the attempt that holds the grant settles
// it as not_run itself. A router settles an attempt as not_run only if no part of
// the call reached an endpoint, or if the endpoint reported that it did not start
// the call. It never dispatches under that attempt again.
package claim
