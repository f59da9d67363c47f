package main

import (
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plots. barWidth is in points.
const (
	width    = 26 * vg.Centimeter
	height   = 14 * vg.Centimeter
	barWidth = 7
	// maxCauses bounds the causes that are shown separately.
	maxCauses = 6
)

// drawRounds plots the mean worth of the fault days of each round over time, one
// line per deployment.
func drawRounds(rounds []round, file string) error {
	p := plot.New()
	p.Title.Text = "Worth of the standard days with trouble, mean of each round"
	p.Y.Label.Text = "worth"
	p.X.Tick.Marker = plot.TimeTicks{Format: "02 Jan 15:04"}
	p.Legend.Top, p.Legend.Left = false, true
	bySite := map[string]plotter.XYs{}
	for i := range rounds {
		r := &rounds[i]
		bySite[r.site] = append(bySite[r.site], plotter.XY{X: float64(r.at.Unix()), Y: r.meanWorth()})
	}
	var lines []any
	for _, r := range newestRounds(rounds) {
		lines = append(lines, r.site, bySite[r.site])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(width, height, file)
}

// loss is the difference of a day's worth to the maximum of 1, by cause.
type loss struct {
	day     string
	byCause map[string]float64
}

// unserved is the cause of the loss that no price of the day accounts for:
// requests that were not served or were served late.
const unserved = "not served, or late"

func lossesOf(rounds []round) []loss {
	var out []loss
	for _, r := range rounds {
		for _, d := range r.days {
			l := loss{day: shortName(r.site) + " " + d.Name, byCause: map[string]float64{}}
			unexplained := 1 - d.Worth
			for _, p := range d.Prices {
				l.byCause[p.Cause] += p.Worth
				unexplained -= p.Worth
			}
			l.byCause[unserved] = max(0, unexplained)
			out = append(out, l)
		}
	}
	return out
}

// shortName returns the first letter of each part of a deployment's name. Parts
// are separated by dashes.
func shortName(site string) string {
	var out strings.Builder
	for part := range strings.SplitSeq(site, "-") {
		out.WriteString(part[:min(1, len(part))])
	}
	return out.String()
}

// largestCauses returns the at most maxCauses causes with the highest loss over
// all days, in descending order.
func largestCauses(losses []loss) []string {
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
	return causes[:min(maxCauses, len(causes))]
}

// drawLosses plots a stacked bar for each day, with a segment for each cause.
func drawLosses(rounds []round, file string) error {
	losses := lossesOf(rounds)
	p := plot.New()
	p.Title.Text = "What the days of the newest rounds lack of all worth, by cause"
	p.Y.Label.Text = "worth"
	p.Legend.Top, p.Legend.Left = true, true
	var below *plotter.BarChart
	for i, cause := range append(largestCauses(losses), "others") {
		values := make(plotter.Values, len(losses))
		for n, l := range losses {
			values[n] = l.ofCause(cause, largestCauses(losses))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
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
	return p.Save(width+vg.Length(len(losses))*vg.Points(barWidth), height, file)
}

// ofCause returns the loss of a shown cause. For any other name it returns the
// sum of all causes that are not shown.
func (l *loss) ofCause(cause string, shown []string) float64 {
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
