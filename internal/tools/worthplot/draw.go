package main

import (
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plots.
const (
	width  = 26 * vg.Centimeter
	height = 14 * vg.Centimeter
	bar    = 7
	// shownCauses bounds the causes that have a colour of their own.
	shownCauses = 6
)

// drawRounds draws the mean worth of the days with trouble over the rounds.
func drawRounds(rounds []round, file string) error {
	p := plot.New()
	p.Title.Text = "Worth of the standard days with trouble, mean of each round"
	p.Y.Label.Text = "worth"
	p.X.Tick.Marker = plot.TimeTicks{Format: "02 Jan 15:04"}
	p.Legend.Top, p.Legend.Left = false, true
	bySite := map[string]plotter.XYs{}
	for i := range rounds {
		r := &rounds[i]
		bySite[r.site] = append(bySite[r.site], plotter.XY{X: float64(r.at.Unix()), Y: r.mean()})
	}
	var lines []any
	for _, r := range newest(rounds) {
		lines = append(lines, r.site, bySite[r.site])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(width, height, file)
}

// loss is what a day lacks of all that could be earned, by cause.
type loss struct {
	day     string
	byCause map[string]float64
}

// unserved is the cause of what was not served, or late; all else is a price.
const unserved = "not served, or late"

func lossesOf(rounds []round) []loss {
	var out []loss
	for _, r := range rounds {
		for _, d := range r.days {
			l := loss{day: shortName(r.site) + " " + d.Name, byCause: map[string]float64{}}
			rest := 1 - d.Worth
			for _, p := range d.Prices {
				l.byCause[p.Cause] += p.Worth
				rest -= p.Worth
			}
			l.byCause[unserved] = max(0, rest)
			out = append(out, l)
		}
	}
	return out
}

// shortName keeps the first letters of a deployment's name.
func shortName(site string) string {
	var out strings.Builder
	for part := range strings.SplitSeq(site, "-") {
		out.WriteString(part[:min(1, len(part))])
	}
	return out.String()
}

// largest names the causes that cost most over all days, and sums up the others.
func largest(losses []loss) []string {
	total := map[string]float64{}
	for _, l := range losses {
		for cause, worth := range l.byCause {
			total[cause] += worth
		}
	}
	var causes []string
	for cause := range total {
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b string) int {
		if total[a] != total[b] {
			if total[a] > total[b] {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return causes[:min(shownCauses, len(causes))]
}

// drawLosses draws a bar for each day, with a part for each cause.
func drawLosses(rounds []round, file string) error {
	losses := lossesOf(rounds)
	p := plot.New()
	p.Title.Text = "What the days of the newest rounds lack of all worth, by cause"
	p.Y.Label.Text = "worth"
	p.Legend.Top, p.Legend.Left = true, true
	var below *plotter.BarChart
	for i, cause := range append(largest(losses), "others") {
		values := make(plotter.Values, len(losses))
		for n, l := range losses {
			values[n] = l.of(cause, largest(losses))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(bar))
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(cause, bars)
	}
	names := make([]string, len(losses))
	for i, l := range losses {
		names[i] = l.day
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = 1.2, -1, -0.5
	return p.Save(width+vg.Length(len(losses))*vg.Points(bar), height, file)
}

// of is what a cause has cost; "others" are those that are not shown.
func (l *loss) of(cause string, shown []string) float64 {
	if slices.Contains(shown, cause) {
		return l.byCause[cause]
	}
	sum := 0.0
	for name, worth := range l.byCause {
		if !slices.Contains(shown, name) {
			sum += worth
		}
	}
	return sum
}
