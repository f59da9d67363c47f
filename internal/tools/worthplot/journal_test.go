package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const sampleEntry = `{"cmd":"score","at":["2026-12-03T13:00:00Z","2026-12-03T13:05:00Z"],"site":"a-site","days":[
{"name":"quiet-1","G":0.9,"by_class":[1.0,null],"prices":[["hosts",4,0.05],["calls",3,0.02]]},
{"name":"trouble-1","G":0.5,"prices":[["hosts",4,0.1]]},{"name":"trouble-2","G":0.6},{"name":"trouble-3","G":0.7},
{"name":"scale-1","G":0.6},{"name":"scale-2","G":0.6},{"name":"fresh-1","G":0.1}]}`

func journal(t *testing.T, entries ...string) []string {
	t.Helper()
	var files []string
	for i, text := range entries {
		name := filepath.Join(t.TempDir(), string(rune('a'+i))+".json")
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, name)
	}
	return files
}

// Guards against counting quiet or random days and incomplete rounds in the mean,
// and against losses that don't add up to the missing worth.
func TestRoundsAndLossesOfJournal(t *testing.T) {
	later := strings.NewReplacer("13:0", "14:0", `"G":0.5`, `"G":0.75`).Replace(sampleEntry)
	rounds, err := readRounds(journal(t, later, sampleEntry, `{"cmd":"hunt","site":"a-site"}`, strings.Replace(sampleEntry, "2026-12-03T13:05:00Z", "", 1), strings.Replace(sampleEntry, "trouble-2", "fresh-2", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if len(rounds) != 2 || math.Abs(rounds[0].meanWorth()-0.6) > 1e-9 || math.Abs(rounds[1].meanWorth()-0.65) > 1e-9 {
		t.Fatalf("%+v", rounds)
	}
	losses := lossesOf(newestRounds(rounds))
	if len(losses) != 6 || losses[0].day != "as quiet-1" || math.Abs(losses[0].byCause[unserved]-0.03) > 1e-9 {
		t.Fatalf("%+v", losses)
	}
	if shown := largestCauses(losses); shown[0] != unserved {
		t.Errorf("%v", shown)
	}
}

// Guards against plots that cannot be written as SVG, and against an empty
// journal that is accepted.
func TestPlotsAreDrawn(t *testing.T) {
	rounds, err := readRounds(journal(t, sampleEntry))
	if err != nil {
		t.Fatal(err)
	}
	for _, draw := range []func(string) error{
		func(file string) error { return drawRounds(rounds, file) },
		func(file string) error { return drawLosses(rounds, file) },
	} {
		file := filepath.Join(t.TempDir(), "plot.svg")
		if err := draw(file); err != nil {
			t.Fatal(err)
		}
		if raw, err := os.ReadFile(file); err != nil || !strings.Contains(string(raw), "<svg") {
			t.Errorf("%v", err)
		}
	}
	if _, err := readRounds(nil); err == nil {
		t.Error("readRounds accepted an empty journal")
	}
}
