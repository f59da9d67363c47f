package main

import (
	"io"
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
		known        []string
		want         bool
	}{
		{"all tests pass", `{"Action":"pass","Package":"m/p","Test":"TestA"}`, nil, true},
		{"unlisted failure", fail, nil, false},
		{"listed failure", fail, []string{"m/p.TestA"}, true},
		{"only another test is listed", fail, []string{"m/p.TestB"}, false},
		{"listed subtest", sub, []string{"m/p.TestA/x"}, true},
		{"listed test passes", `{"Action":"pass","Package":"m/p","Test":"TestA"}`, []string{"m/p.TestA"}, false},
		{"package fails without a test", `{"Action":"fail","Package":"m/p"}`, []string{"m/p.TestA"}, false},
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
