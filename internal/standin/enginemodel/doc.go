// Package enginemodel is a model of one inference engine: continuous batching,
// prompt prefill, and a bounded cache that fills while decoding. It uses no
// clock, socket or goroutine, so that the stand-in engine and the policy bench
// can run the same model. An Engine isn't safe for concurrent use; the caller
// must lock it.
package enginemodel
