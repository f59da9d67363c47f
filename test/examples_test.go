package test

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

// Checks that every settings file of the examples is valid for its own program.
func TestExampleSettingsAreValid(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("../examples/*/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example settings found: %v", err)
	}
	for _, file := range files {
		kind, _, _ := strings.Cut(filepath.Base(file), "-")
		var check *exec.Cmd
		switch kind {
		case "router", "keeper":
			check = exec.Command(procs.Binary("dragonfly-"+kind), "--check-settings", "--settings", file)
		case "workload.json":
			check = exec.Command(procs.Binary("dragonfly-load"), "--check-settings", "--workload", file)
		case "system.json":
			if _, err := procs.ExampleLayout(filepath.Dir(file)); err != nil {
				t.Errorf("%s: %v", file, err)
			}
			continue
		default:
			t.Errorf("%s: unknown kind of settings file", file)
			continue
		}
		if out, err := check.CombinedOutput(); err != nil {
			t.Errorf("%s: %v: %s", file, err, out)
		}
	}
}

// Checks that the error for an invalid settings file contains the path of the
// field.
func TestInvalidSettingsErrorNamesField(t *testing.T) {
	t.Parallel()
	out, err := exec.Command(procs.Binary("dragonfly-router"), "--check-settings", "--settings", "testdata/wrong-router.json").CombinedOutput()
	if err == nil || !strings.Contains(string(out), "listen.admin") {
		t.Fatalf("%v: %s", err, out)
	}
}

// Checks that a keeper accepts the records of the examples.
func TestExampleRecordsAreAccepted(t *testing.T) {
	for _, name := range []string{"kegsetu", "bayanihan"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			layout := procs.DemoLayout(procs.BinDir(), t.TempDir())
			layout.Runners, layout.Services, layout.Routers, layout.Keepers = 1, 0, 0, 1
			ctx, cancel := context.WithTimeout(context.Background(), procs.Deadline)
			defer cancel()
			s, err := procs.Launch(ctx, layout)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Stop()
			files, err := procs.RecordFiles("../examples/" + name)
			if err != nil || len(files) < 12 {
				t.Fatalf("%d records: %v", len(files), err)
			}
			if err := s.WriteRecordFiles(ctx, files); err != nil {
				t.Fatal(err)
			}
		})
	}
}
