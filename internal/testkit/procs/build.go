package procs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// module is the import path of the module's root.
const module = "github.com/dragonflyrail/dragonflyrail"

// binDir is the directory in which Main built the binaries.
var binDir string

// Main builds the binaries once, runs the package's tests and removes the
// binaries. Call it from TestMain. The binaries are built without the race
// detector, since these tests check the behaviour of processes and each
// package's own tests run with the race detector.
func Main(m *testing.M) {
	dir, err := os.MkdirTemp("", "dragonflyrail-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "procs:", err)
		os.Exit(1)
	}
	code := 1
	if err := Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, "procs:", err)
	} else {
		binDir = dir
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// Build compiles all commands into dir.
func Build(dir string) error {
	root, err := moduleRoot()
	if err != nil {
		return err
	}
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("go build: %w\n%s", err, out)
	}
	return nil
}

func moduleRoot() (string, error) {
	out, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}", module).Output()
	if err != nil {
		return "", fmt.Errorf("go list -m: %w", err)
	}
	return strings.TrimSpace(string(out)), nil
}

// BinDir returns the directory in which Main built the binaries.
func BinDir() string { return binDir }

// Binary returns the path of a binary that Main built.
func Binary(name string) string { return filepath.Join(binDir, name) }
