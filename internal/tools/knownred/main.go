// Command knownred runs `go test -json` and compares the result with
// KNOWN-RED.txt. A listed test may fail and is printed. Any other failed test
// makes the command fail, and so does a listed test that passes, because its
// entry is stale, unless the entry says that the test fails only sometimes.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

const (
	listFile   = "KNOWN-RED.txt"
	maxEntries = 32
)

// event is one line of the output of `go test -json`.
type event struct {
	Action     string
	Package    string
	Test       string
	Output     string
	ImportPath string
	Elapsed    float64
}

// result collects the outcome of a test run, by test ID or package.
type result struct {
	output       map[string][]string
	failed       []string
	passed       map[string]bool
	failedPkgs   map[string]bool
	packageLines []string
}

func main() {
	args := os.Args[1:]
	if len(args) > 0 && args[0] == "--" {
		args = args[1:]
	}
	known, err := readKnown(listFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
	res, err := run(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
	if !evaluate(os.Stdout, known, res) {
		os.Exit(1)
	}
}

// sometimes follows the ID of a test that doesn't fail in each run.
const sometimes = "sometimes:"

// entry is a line of KNOWN-RED.txt.
type entry struct {
	// id is the package and the test, "package.Test".
	id string
	// sometimes is set for a test that doesn't fail in each run.
	sometimes bool
}

// readKnown returns the entries of a list. It skips empty lines and comments, and
// returns none if the file does not exist.
func readKnown(path string) ([]entry, error) {
	raw, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var entries []entry
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		id, text, _ := strings.Cut(line, " ")
		entries = append(entries, entry{id: id, sometimes: strings.HasPrefix(text, sometimes)})
	}
	if len(entries) > maxEntries {
		return nil, fmt.Errorf("%s has %d entries; at most %d are allowed", path, len(entries), maxEntries)
	}
	return entries, nil
}

func run(args []string) (*result, error) {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	res := collect(out)
	// A non-zero exit code is expected if a package failed. Without a failed
	// package, the command itself failed.
	waitErr := cmd.Wait()
	if waitErr != nil && len(res.failedPkgs) == 0 {
		return nil, fmt.Errorf("%s: %w", args[0], waitErr)
	}
	return res, nil
}

func collect(r io.Reader) *result {
	res := &result{
		output:     map[string][]string{},
		passed:     map[string]bool{},
		failedPkgs: map[string]bool{},
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Println(lines.Text())
			continue
		}
		res.add(&e)
	}
	return res
}

func (r *result) add(e *event) {
	if e.Action == "build-output" {
		fmt.Print(e.Output)
		return
	}
	if e.Action == "build-fail" {
		r.failedPkgs[e.ImportPath] = true
		return
	}
	id := e.Package
	if e.Test != "" {
		id += "." + e.Test
	}
	switch e.Action {
	case "output":
		r.output[id] = append(r.output[id], e.Output)
	case "pass":
		r.passed[id] = true
		delete(r.output, id)
		r.addPackageLine(e, "ok  ")
	case "fail":
		if e.Test == "" {
			r.failedPkgs[e.Package] = true
			r.addPackageLine(e, "FAIL")
			return
		}
		r.failed = append(r.failed, id)
	}
}

func (r *result) addPackageLine(e *event, status string) {
	if e.Test == "" {
		r.packageLines = append(r.packageLines, fmt.Sprintf("%s %s %.1fs", status, e.Package, e.Elapsed))
	}
}

// evaluate prints the outcome and reports whether the run passes.
func evaluate(w io.Writer, known []entry, r *result) bool {
	for _, line := range r.packageLines {
		fmt.Fprintln(w, line)
	}
	ok := true
	knownPackages := map[string]bool{}
	for _, id := range r.failed {
		if isKnown(id, known, r.failed) {
			fmt.Fprintln(w, "KNOWN-RED:", id)
			knownPackages[packageOf(id)] = true
			continue
		}
		ok = false
		fmt.Fprintf(w, "--- FAIL: %s\n%s", id, strings.Join(r.output[id], ""))
	}
	for pkg := range r.failedPkgs {
		if !knownPackages[pkg] {
			ok = false
			fmt.Fprintf(w, "FAIL: package %s\n%s", pkg, strings.Join(r.output[pkg], ""))
		}
	}
	for _, e := range known {
		if r.passed[e.id] && !e.sometimes {
			ok = false
			fmt.Fprintln(w, "KNOWN-RED.txt is stale, the test passes:", e.id)
		}
	}
	return ok
}

// isKnown reports whether a failed test is listed, or has failed subtests that
// are all known.
func isKnown(id string, known []entry, failed []string) bool {
	if slices.ContainsFunc(known, func(e entry) bool { return e.id == id }) {
		return true
	}
	children := 0
	for _, f := range failed {
		if !strings.HasPrefix(f, id+"/") {
			continue
		}
		if !isKnown(f, known, failed) {
			return false
		}
		children++
	}
	return children > 0
}

func packageOf(id string) string {
	pkg, _, _ := strings.Cut(id, ".Test")
	return pkg
}
