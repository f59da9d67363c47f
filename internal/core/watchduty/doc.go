// Package watchduty decides which daemons read the platform's store, and how
// often. Every call to the store is billed. If all daemons read it, the cost would
// grow with their number and would be highest when the store is failing and all of
// them retry. Instead a few watchers read for all and send the results, and whether
// their calls were refused, to the others. A daemon that receives no such messages
// reads the store itself.
//
// The package is designed for hundreds of daemons that start at the same time, lose
// the store for seconds, all of them or some, or lose the connection to each other.
//
// It uses no sockets, and no clock other than the times passed in.
package watchduty
