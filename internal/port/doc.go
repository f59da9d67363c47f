// Package port defines the interfaces and message types between the decisions in
// core and the adapters that do the input and output. It imports neither.
package port
