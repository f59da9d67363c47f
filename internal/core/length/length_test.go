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
			t.Fatalf("%d in bucket %d: edges %v..", n, b, edges[b])
		}
	}
}

// A survival curve never rises, starts at one, keeps a tail, and its
// quantiles agree with it, whatever was observed.
func TestSurvivalProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEstimator(Options{})
		for _, n := range rapid.SliceOfN(rapid.IntRange(1, 100_000), 0, 400).Draw(t, "lengths") {
			e.Observe(Subject{Model: "m", Organisation: "o", PromptTokens: 100}, n)
		}
		s := e.Estimate(Subject{Model: "m", Organisation: "o", PromptTokens: 100})
		seen := rapid.IntRange(0, 50_000).Draw(t, "seen")
		last := 1.0
		for ahead := 0; ahead < 100_000; ahead += 997 {
			now := s.Given(seen, ahead)
			if now > last+1e-6 || now <= 0 {
				t.Fatalf("given %d ahead %d: %v after %v", seen, ahead, now, last)
			}
			last = now
		}
		q := rapid.Float64Range(0.05, 0.95).Draw(t, "q")
		n := s.Quantile(seen, q)
		if n < maxQuantile && s.Given(seen, n-seen) > 1-q+1e-6 {
			t.Fatalf("quantile %v is %d, yet %v survive", q, n, s.Given(seen, n-seen))
		}
	})
}

func lognormal(r *rand.Rand, median, sigma float64) int {
	return max(1, int(median*math.Exp(sigma*r.NormFloat64())))
}

// calibration returns the part of answers that stay under each promised
// quantile, asked before each answer is learnt.
func calibration(e *Estimator, organisation string, draws int, quantiles []float64, draw func() int) []float64 {
	under := make([]float64, len(quantiles))
	for range draws {
		n := draw()
		s := e.Estimate(Subject{Model: "m", Organisation: organisation, PromptTokens: 100})
		for i, q := range quantiles {
			if n <= s.Quantile(0, q) {
				under[i] += 1 / float64(draws)
			}
		}
		e.Observe(Subject{Model: "m", Organisation: organisation, PromptTokens: 100}, n)
	}
	return under
}

var promised = []float64{0.5, 0.8, 0.9, 0.95}

func TestCalibrated(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	draw := func() int { return lognormal(r, 400, 1.1) }
	e := NewEstimator(Options{})
	calibration(e, "o", 200, promised, draw)
	got := calibration(e, "o", 4000, promised, draw)
	t.Logf("promised %v seen %.3f", promised, got)
	for i, q := range promised {
		if math.Abs(got[i]-q) > 0.04 {
			t.Errorf("promised %v, seen %v", q, got[i])
		}
	}
}

// An organisation's first requests are placed before anything is known of
// it. Promising too little would fill a runner with answers that overrun it;
// the pooled curve and the cautious tail must promise at least what comes.
func TestSafeForUnseenOrganisation(t *testing.T) {
	for name, poolMedian := range map[string]float64{"empty pool": 0, "pool of like kind": 300} {
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
			t.Logf("promised 0.9 seen %.3f", total)
			if total < 0.86 {
				t.Errorf("promised 0.9, seen %.3f", total)
			}
		})
	}
}

// An organisation starts to ask for answers eight times as long. At first
// the promises are overrun; 256 answers later they must hold again.
func TestFollowsChangeOfBehaviour(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	e := NewEstimator(Options{})
	calibration(e, "o", 1000, promised, func() int { return lognormal(r, 100, 0.7) })
	draw := func() int { return lognormal(r, 800, 0.7) }
	during := calibration(e, "o", 256, promised, draw)
	after := calibration(e, "o", 300, promised, draw)
	t.Logf("promised %v during %.3f after %.3f", promised, during, after)
	if after[2] < 0.86 || after[3] < 0.91 {
		t.Errorf("promised %v, seen %.3f after the change", promised, after)
	}
}

// Cut answers are the long ones. Leaving them out would halve the promise.
func TestCutAnswersDontShortenTheEstimate(t *testing.T) {
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
		t.Fatalf("beyond the cut: %v, true 0.34", beyond)
	}
}

func TestPairsAreBounded(t *testing.T) {
	e := NewEstimator(Options{MaxPairs: 64})
	for i := range 10_000 {
		e.Observe(Subject{Model: "m", Organisation: fmt.Sprint(i), PromptTokens: 10}, 10)
	}
	if n := e.Pairs(); n > 64 {
		t.Fatalf("%d pairs", n)
	}
}
