package main

import (
	"fmt"
	"io"
	"strings"
	"text/template"
)

// Sizes of the plot in pixels.
const (
	panelWidth  = 300
	panelHeight = 200
	panelMargin = 50
)

// plotted lists the measures of the plot, one column of panels each.
var plotted = []string{stallTime, preemptions, gapP99, firstShortP95, goodput}

// colours lists the colours of the policies, in the order of policies().
var colours = []string{"#bbbbbb", "#888888", "#d62728", "#ff7f0e", "#1f77b4", "#17becf", "#9467bd", "#98df8a", "#2ca02c"}

type panel struct {
	X, Y  int
	Title string
	Top   string
	Lines []line
}

type line struct {
	Colour string
	Points string
}

type legend struct {
	X      int
	Colour string
	Name   string
}

type plot struct {
	Width, Height int
	Panels        []panel
	Legends       []legend
}

var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="11">
<rect width="100%" height="100%" fill="white"/>
{{range .Legends}}<rect x="{{.X}}" y="12" width="12" height="12" fill="{{.Colour}}"/><text x="{{.X}}" dx="16" y="22">{{.Name}}</text>
{{end}}{{range .Panels}}<g transform="translate({{.X}},{{.Y}})">
<text x="0" y="-8">{{.Title}}</text>
<rect width="240" height="140" fill="none" stroke="#444"/>
<text x="-4" y="8" text-anchor="end">{{.Top}}</text><text x="-4" y="140" text-anchor="end">0</text>
<text x="0" y="154">load 0.7</text><text x="240" y="154" text-anchor="end">1.2</text>
{{range .Lines}}<polyline fill="none" stroke="{{.Colour}}" stroke-width="2" points="{{.Points}}"/>
{{end}}</g>
{{end}}</svg>
`))

// writePlot draws each measure against the load, with a row of panels for each
// workload.
func (r *report) writePlot(w io.Writer) error {
	p := plot{Width: len(plotted)*panelWidth + panelMargin}
	for i, known := range policies() {
		if known.name != floorPolicy {
			p.Legends = append(p.Legends, legend{X: panelMargin + i*140, Colour: colours[i], Name: known.name})
		}
	}
	for row, name := range []string{"kegsetu", "bayanihan"} {
		for column, measure := range plotted {
			p.Panels = append(p.Panels, r.panel(name, measure, panelMargin+column*panelWidth, 2*panelMargin/2+20+row*panelHeight))
		}
	}
	p.Height = 2*panelHeight + panelMargin
	return plotTemplate.Execute(w, p)
}

func (r *report) panel(workload, measure string, x, y int) panel {
	out := panel{X: x, Y: y, Title: workload + " " + measure}
	var loads []scenario
	for _, sc := range scenarios() {
		if strings.HasPrefix(sc.name, "load ") {
			loads = append(loads, sc)
		}
	}
	top := 0.0
	for _, l := range r.Rows {
		if l.Workload == workload && strings.HasPrefix(l.Scenario, "load ") && l.Policy != floorPolicy {
			top = max(top, l.Mean[measure])
		}
	}
	out.Top = fmt.Sprintf("%.4g", top)
	for i, known := range policies() {
		if known.name == floorPolicy {
			continue
		}
		var points []string
		for _, sc := range loads {
			if l := r.find(workload, sc.name, known.name); l != nil && top > 0 {
				px := (sc.load - loads[0].load) / (loads[len(loads)-1].load - loads[0].load) * 240
				points = append(points, fmt.Sprintf("%.1f,%.1f", px, 140-140*l.Mean[measure]/top))
			}
		}
		out.Lines = append(out.Lines, line{Colour: colours[i], Points: strings.Join(points, " ")})
	}
	return out
}
