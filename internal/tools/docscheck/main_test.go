package main

import "testing"

func TestRunnable(t *testing.T) {
	page := "# p\n\n```sh runnable\necho a\n```\n\n```sh\nrm -r /\n```\n\n```sh runnable\necho b\necho c\n```\n"
	got := runnable([]byte(page))
	if len(got) != 2 || got[0] != "echo a\n" || got[1] != "echo b\necho c\n" {
		t.Fatalf("got %q", got)
	}
}

func TestExecuteStopsAtFirstFailure(t *testing.T) {
	if err := execute("false\ntrue\n"); err == nil {
		t.Fatal("execute returned no error although the first command failed")
	}
}
