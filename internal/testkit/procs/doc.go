// Package procs runs the system's binaries as separate processes on loopback. It
// builds them, allocates ports, writes settings, waits until they serve, stops
// or suspends them by process id, and keeps their logs. The process-level tests
// and the demo use it.
package procs
