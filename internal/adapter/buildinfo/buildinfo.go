// Package buildinfo provides the version that the binaries print.
package buildinfo

import (
	"runtime/debug"
)

// Version is the release version; it can be set at link time.
var Version = "0.1.0-dev"

// String returns the release version and, if known, the Go version of the build.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version
	}
	return Version + " (" + info.GoVersion + ")"
}
