package procs

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"
)

// Deadline bounds each wait of a test. It is long so that a loaded machine does
// not make a test fail.
const Deadline = 60 * time.Second

// StartDemo starts the demo system, with the layout modified by change if that
// is not nil, applies the demo records and waits until every router serves. The
// system is killed when the test ends; if the test failed, the end of each log is
// printed.
func StartDemo(tb testing.TB, change func(*Layout)) *System {
	tb.Helper()
	l := DemoLayout(binDir, tb.TempDir())
	if change != nil {
		change(&l)
	}
	ctx, cancel := context.WithTimeout(context.Background(), Deadline)
	defer cancel()
	s, err := Launch(ctx, l)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		s.Kill()
		if tb.Failed() {
			for _, d := range s.All() {
				tb.Logf("end of the log of %s:\n%s", d.ID, logTail(d.Log()))
			}
		}
	})
	if err := s.WriteRecords(ctx, DemoRecords()); err != nil {
		tb.Fatal(err)
	}
	if err := s.WaitServing(ctx, s.Caller(DemoOrganisation)); err != nil {
		tb.Fatal(err)
	}
	return s
}

// envLogs is an environment variable with the name of an existing directory.
const envLogs = "DRAGONFLYRAIL_TEST_LOGS"

// LogDir returns a directory for the logs of a test. If envLogs is set, it lies in that
// directory and is kept if the test fails.
func LogDir(tb testing.TB) string {
	tb.Helper()
	parent := os.Getenv(envLogs)
	if parent == "" {
		return tb.TempDir()
	}
	dir, err := os.MkdirTemp(parent, strings.ReplaceAll(tb.Name(), "/", "-")+"-")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		if tb.Failed() {
			tb.Log("logs:", dir)
		} else if err := os.RemoveAll(dir); err != nil {
			tb.Error(err)
		}
	})
	return dir
}

// Until polls a condition and fails the test if it is not true before the
// deadline.
func Until(tb testing.TB, what string, ok func() bool) {
	tb.Helper()
	deadline := time.Now().Add(Deadline)
	for !ok() {
		if time.Now().After(deadline) {
			tb.Fatalf("condition not met before the deadline: %s", what)
		}
		time.Sleep(pollInterval)
	}
}
