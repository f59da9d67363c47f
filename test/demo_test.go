package test

import (
	"os/exec"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

// Runs what make demo runs, without the build, so that the documented first
// command keeps working.
func TestDemoSucceeds(t *testing.T) {
	t.Parallel()
	demo := exec.Command("go", "run", "./internal/tools/demo", "show", "--bin", procs.BinDir())
	demo.Dir = ".."
	if out, err := demo.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
}
