package length

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

func TestBucketsMatchEdges(t *testing.T) {
	for n := 1; n < 100_000; n++ {
		b := bucketOf(n)
		if float64(n) <= edges[b] || (b < numEdges-1 && float64(n) > edges[b+1]) {
			t.Fatalf("length %d in bucket %d, which starts at %v", n, b, edges[b])
		}
	}
}

// For any observations, the survival curve starts at one, never rises and keeps a
// positive tail, and its quantiles agree with it.
func TestSurvivalProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEstimator(Options{})
		for _, n := range rapid.SliceOfN(rapid.IntRange(1, 100_000), 0, 400).Draw(t, "lengths") {
			e.Observe(Subject{Model: "m", Organisation: "o", PromptTokens: 100}, n)
		}
		s := e.Estimate(Subject{Model: "m", Organisation: "o", PromptTokens: 100})
		seen := rapid.IntRange(0, 50_000).Draw(t, "seen")
		previous := 1.0
		for ahead := 0; ahead < 100_000; ahead += 997 {
			survival := s.BeyondGiven(seen, ahead)
			if survival > previous+1e-6 || survival <= 0 {
				t.Fatalf("BeyondGiven(%d, %d) = %v after %v", seen, ahead, survival, previous)
			}
			previous = survival
		}
		q := rapid.Float64Range(0.05, 0.95).Draw(t, "q")
		n := s.Quantile(seen, q)
		if n < maxQuantile && s.BeyondGiven(seen, n-seen) > 1-q+1e-6 {
			t.Fatalf("quantile %v is %d, but the probability of more is %v", q, n, s.BeyondGiven(seen, n-seen))
		}
	})
}

func lognormal(r *rand.Rand, median, sigma float64) int {
	return max(1, int(median*math.Exp(sigma*r.NormFloat64())))
}

// calibration returns the fraction of answers within each estimated quantile. Each
// answer is estimated before it is observed.
func calibration(e *Estimator, organisation string, draws int, quantiles []float64, draw func() int) []float64 {
	coverage := make([]float64, len(quantiles))
	for range draws {
		n := draw()
		s := e.Estimate(Subject{Model: "m", Organisation: organisation, PromptTokens: 100})
		for i, q := range quantiles {
			if n <= s.Quantile(0, q) {
				coverage[i] += 1 / float64(draws)
			}
		}
		e.Observe(Subject{Model: "m", Organisation: organisation, PromptTokens: 100}, n)
	}
	return coverage
}

var testQuantiles = []float64{0.5, 0.8, 0.9, 0.95}

func TestEstimatesAreCalibrated(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	draw := func() int { return lognormal(r, 400, 1.1) }
	e := NewEstimator(Options{})
	calibration(e, "o", 200, testQuantiles, draw)
	got := calibration(e, "o", 4000, testQuantiles, draw)
	t.Logf("quantiles %v, coverage %.3f", testQuantiles, got)
	for i, q := range testQuantiles {
		if math.Abs(got[i]-q) > 0.04 {
			t.Errorf("coverage of quantile %v is %v", q, got[i])
		}
	}
}

// The first requests of an organisation are placed without any observations of it.
// If their estimates were too short, their answers would overrun the room at the
// runner. The pooled curve and the cautious tail must cover the actual lengths.
func TestEstimateCoversUnseenOrganisation(t *testing.T) {
	for name, poolMedian := range map[string]float64{"empty pool": 0, "pool of similar answers": 300} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(3, 4))
			var total float64
			const organisations = 200
			e := NewEstimator(Options{})
			for i := range 600 {
				if poolMedian > 0 {
					e.Observe(Subject{Model: "m", Organisation: fmt.Sprint("old", i%6), PromptTokens: 100}, lognormal(r, poolMedian, 0.8))
				}
			}
			for i := range organisations {
				fresh := e
				if poolMedian == 0 {
					fresh = NewEstimator(Options{})
				}
				got := calibration(fresh, fmt.Sprint("new", i), 5, []float64{0.9}, func() int { return lognormal(r, 300, 0.8) })
				total += got[0] / organisations
			}
			t.Logf("coverage of quantile 0.9: %.3f", total)
			if total < 0.86 {
				t.Errorf("coverage of quantile 0.9 is %.3f", total)
			}
		})
	}
}

// An organisation starts to ask for answers eight times as long. The estimates are
// too short at first; after 256 answers they must be calibrated again.
func TestEstimateAdaptsToLongerAnswers(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	e := NewEstimator(Options{})
	calibration(e, "o", 1000, testQuantiles, func() int { return lognormal(r, 100, 0.7) })
	draw := func() int { return lognormal(r, 800, 0.7) }
	during := calibration(e, "o", 256, testQuantiles, draw)
	after := calibration(e, "o", 300, testQuantiles, draw)
	t.Logf("quantiles %v: coverage %.3f during the change, %.3f after", testQuantiles, during, after)
	if after[2] < 0.86 || after[3] < 0.91 {
		t.Errorf("quantiles %v: coverage %.3f after the change", testQuantiles, after)
	}
}

// Cut answers are the long ones. Ignoring them would halve the estimated
// probability of long answers.
func TestCutAnswersDoNotShortenEstimate(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 8))
	e := NewEstimator(Options{})
	for range 2000 {
		n := lognormal(r, 400, 1)
		if n > 600 {
			e.ObserveCut(Subject{Model: "m", Organisation: "o", PromptTokens: 100}, 600)
			continue
		}
		e.Observe(Subject{Model: "m", Organisation: "o", PromptTokens: 100}, n)
	}
	s := e.Estimate(Subject{Model: "m", Organisation: "o", PromptTokens: 100})
	if beyond := s.Beyond(600); math.Abs(beyond-0.34) > 0.08 {
		t.Fatalf("probability beyond the cut is %v, actually 0.34", beyond)
	}
}

func TestPairsAreBounded(t *testing.T) {
	e := NewEstimator(Options{MaxPairs: 64})
	for i := range 10_000 {
		e.Observe(Subject{Model: "m", Organisation: fmt.Sprint(i), PromptTokens: 10}, 10)
	}
	if n := e.Pairs(); n > 64 {
		t.Fatalf("%d pairs are kept, want at most 64", n)
	}
}
