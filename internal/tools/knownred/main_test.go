package main

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestEvaluate(t *testing.T) {
	fail := `{"Action":"fail","Package":"m/p","Test":"TestA"}
{"Action":"fail","Package":"m/p"}
`
	sub := `{"Action":"fail","Package":"m/p","Test":"TestA/x"}
` + fail
	cases := []struct {
		name, events string
		known        []entry
		want         bool
	}{
		{"all tests pass", `{"Action":"pass","Package":"m/p","Test":"TestA"}`, nil, true},
		{"unlisted failure", fail, nil, false},
		{"listed failure", fail, []entry{{id: "m/p.TestA"}}, true},
		{"only another test is listed", fail, []entry{{id: "m/p.TestB"}}, false},
		{"listed subtest", sub, []entry{{id: "m/p.TestA/x"}}, true},
		{"listed test passes", `{"Action":"pass","Package":"m/p","Test":"TestA"}`, []entry{{id: "m/p.TestA"}}, false},
		{"test listed as failing sometimes passes", `{"Action":"pass","Package":"m/p","Test":"TestA"}`, []entry{{"m/p.TestA", true}}, true},
		{"test listed as failing sometimes fails", fail, []entry{{"m/p.TestA", true}}, true},
		{"unlisted failure beside one listed as failing sometimes", fail, []entry{{"m/p.TestB", true}}, false},
		{"package fails without a test", `{"Action":"fail","Package":"m/p"}`, []entry{{id: "m/p.TestA"}}, false},
		{"build fails", `{"Action":"build-fail","ImportPath":"m/p"}`, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := evaluate(io.Discard, c.known, collect(strings.NewReader(c.events)))
			if got != c.want {
				t.Fatalf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against an entry without the word that would hide that a test is mended.
func TestReadKnown(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := os.WriteFile(path, []byte("# comment\n\nm/p.TestA always\nm/p.TestB sometimes: seed 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := readKnown(path)
	if want := []entry{{"m/p.TestA", false}, {"m/p.TestB", true}}; err != nil || !slices.Equal(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
}
