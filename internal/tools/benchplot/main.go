// Command benchplot reads the output of `go test -bench` and plots, as SVG, the
// time of each benchmark over the size in its name, for example Rank/64. Both
// axes are logarithmic.
package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/template"

	"golang.org/x/perf/benchfmt"
)

// Sizes of the plot in pixels.
const (
	width  = 420
	height = 260
	margin = 50
)

var errNoPoints = errors.New("the input has no benchmark with a size in its name")

// series is one benchmark at several sizes.
type series struct {
	Name   string
	Colour string
	points []point
	// X, Y and Points are pixel coordinates.
	X, Y   int
	Points string
}

type point struct{ size, micros float64 }

var colours = []string{"#1f77b4", "#d62728", "#2ca02c", "#9467bd"}

type plot struct {
	Width, Height, Margin int
	Series                []*series
	Left, Right           string
	Bottom, Top           string
}

var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="11">
<rect width="100%" height="100%" fill="white"/>
<text x="{{.Margin}}" y="245">{{.Left}}</text><text x="400" y="245" text-anchor="end">{{.Right}} (log scales)</text>
<text x="46" y="214" text-anchor="end">{{.Bottom}}</text><text x="46" y="56" text-anchor="end">{{.Top}}</text>
<rect x="{{.Margin}}" y="{{.Margin}}" width="350" height="160" fill="none" stroke="#444"/>
{{range .Series}}<text x="{{.X}}" y="{{.Y}}" fill="{{.Colour}}">{{.Name}}</text>
<polyline fill="none" stroke="{{.Colour}}" stroke-width="2" points="{{.Points}}"/>
{{end}}</svg>
`))

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchplot:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	all, err := readSeries(in)
	if err != nil {
		return err
	}
	return plotTemplate.Execute(out, layOut(all))
}

func readSeries(in io.Reader) ([]*series, error) {
	var all []*series
	reader := benchfmt.NewReader(in, "stdin")
	for reader.Scan() {
		result, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		name, p, ok := parseResult(result)
		if !ok {
			continue
		}
		i := slices.IndexFunc(all, func(s *series) bool { return s.Name == name })
		if i < 0 {
			i = len(all)
			all = append(all, &series{Name: name, Colour: colours[i%len(colours)]})
		}
		all[i].points = append(all[i].points, p)
	}
	if err := reader.Err(); err != nil {
		return nil, err
	}
	if len(all) == 0 {
		return nil, errNoPoints
	}
	return all, nil
}

// parseResult returns the benchmark name of a result and its point. It reports
// false if the result has no time or its name has no size.
func parseResult(r *benchfmt.Result) (string, point, bool) {
	base, parts := r.Name.Parts()
	seconds, ok := r.Value("sec/op")
	if !ok || len(parts) == 0 {
		return "", point{}, false
	}
	// A part that begins with a dash is the number of processors.
	text, hasSlash := strings.CutPrefix(string(parts[0]), "/")
	size, err := strconv.ParseFloat(text, 64)
	if !hasSlash || err != nil || size <= 0 {
		return "", point{}, false
	}
	return string(base), point{size: size, micros: seconds * 1e6}, true
}

func layOut(all []*series) *plot {
	low, high := point{math.Inf(1), math.Inf(1)}, point{}
	for _, s := range all {
		for _, p := range s.points {
			low = point{min(low.size, p.size), min(low.micros, p.micros)}
			high = point{max(high.size, p.size), max(high.micros, p.micros)}
		}
	}
	for i, s := range all {
		s.X, s.Y = margin+10+i*110, margin-16
		var pixels []string
		for _, p := range s.points {
			x := margin + 350*logFraction(p.size, low.size, high.size)
			y := margin + 160*(1-logFraction(p.micros, low.micros, high.micros))
			pixels = append(pixels, fmt.Sprintf("%.1f,%.1f", x, y))
		}
		s.Points = strings.Join(pixels, " ")
	}
	return &plot{
		Width: width, Height: height, Margin: margin, Series: all,
		Left: fmt.Sprintf("%.0f candidates", low.size), Right: fmt.Sprintf("%.0f", high.size),
		Bottom: fmt.Sprintf("%.1f us", low.micros), Top: fmt.Sprintf("%.0f us", high.micros),
	}
}

// logFraction returns the position of v between low and high on a logarithmic
// scale, from 0 to 1.
func logFraction(v, low, high float64) float64 {
	if high <= low {
		return 0
	}
	return math.Log(v/low) / math.Log(high/low)
}
