// Package quarantine detects requests that crash every endpoint that runs them,
// also known as queries of death, and decides which of them to stop sending. It
// does no I/O and has no clock of its own.
package quarantine
