package length

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Requests for labels of a few tokens and for reports of about a thousand go to one
// model, with prompts of the same size. With one curve for both, half of the
// probability for a report would lie below 50 tokens.
func TestRoutesHaveSeparateCurves(t *testing.T) {
	r := rand.New(rand.NewPCG(9, 10))
	e := NewEstimator(Options{})
	label := Subject{Model: "m", Organisation: "o", Route: "label", PromptTokens: 3000}
	report := Subject{Model: "m", Organisation: "o", Route: "report", PromptTokens: 3000}
	for range 100 {
		e.Observe(label, lognormal(r, 15, 0.9))
		e.Observe(report, lognormal(r, 900, 0.8))
	}
	labels, reports := e.Estimate(label), e.Estimate(report)
	if n := labels.Quantile(0, 0.9); n > 120 {
		t.Errorf("90th percentile of labels is %d tokens, want at most 120", n)
	}
	if n := reports.Quantile(0, 0.1); n < 100 {
		t.Errorf("10th percentile of reports is %d tokens, want at least 100", n)
	}
}

// When an operator splits a route in two, the new route has no observations. It
// starts with the curve of the model.
func TestNewRouteStartsFromModelCurve(t *testing.T) {
	e := NewEstimator(Options{})
	for range 200 {
		e.Observe(Subject{Model: "m", Organisation: "o", Route: "old", PromptTokens: 100}, 20)
	}
	s := e.Estimate(Subject{Model: "m", Organisation: "o", Route: "new", PromptTokens: 100})
	if n := s.Quantile(0, 0.9); n > 40 {
		t.Fatalf("90th percentile of the new route is %d tokens, want at most 40", n)
	}
}

// Hints that are right at the median and off by a factor of three make the estimate
// more precise, and its quantiles remain calibrated.
func TestHintsNarrowTheEstimate(t *testing.T) {
	r := rand.New(rand.NewPCG(11, 12))
	e := NewEstimator(Options{})
	subject := Subject{Model: "m", Organisation: "o", Route: "report", PromptTokens: 100}
	var errorWithHints, errorWithoutHints float64
	coverage := make([]float64, len(testQuantiles))
	const draws = 4000
	for range draws {
		n := lognormal(r, 400, 1.1)
		unhinted := e.Estimate(subject)
		hinted := subject
		hinted.Hint = max(1, int(float64(n)*math.Exp(1.1*r.NormFloat64())))
		s := e.Estimate(hinted)
		for i, q := range testQuantiles {
			if n <= s.Quantile(0, q) {
				coverage[i] += 1.0 / draws
			}
		}
		errorWithHints += math.Abs(math.Log(float64(s.Quantile(0, 0.5)) / float64(n)))
		errorWithoutHints += math.Abs(math.Log(float64(unhinted.Quantile(0, 0.5)) / float64(n)))
		e.Observe(hinted, n)
	}
	t.Logf("quantiles %v, coverage %.3f; mean log error of the median %.3f with hints, %.3f without", testQuantiles, coverage, errorWithHints/draws, errorWithoutHints/draws)
	if errorWithHints > 0.8*errorWithoutHints {
		t.Errorf("mean log error of the median is %.3f with hints, %.3f without", errorWithHints/draws, errorWithoutHints/draws)
	}
	for i, q := range testQuantiles {
		if math.Abs(coverage[i]-q) > 0.05 {
			t.Errorf("coverage of quantile %v is %v", q, coverage[i])
		}
	}
}

// An organisation sends hints of a tenth of the actual length, to be served first.
// The estimator learns the error, and its quantiles cover the actual lengths again.
func TestWrongHintsAreCorrected(t *testing.T) {
	r := rand.New(rand.NewPCG(13, 14))
	e := NewEstimator(Options{})
	subject := Subject{Model: "m", Organisation: "liar", Route: "report", PromptTokens: 100}
	coverage := 0.0
	const warmup, measured = 100, 400
	for i := range warmup + measured {
		n := lognormal(r, 800, 0.8)
		subject.Hint = max(1, n/10)
		s := e.Estimate(subject)
		if i >= warmup && n <= s.Quantile(0, 0.9) {
			coverage += 1.0 / measured
		}
		e.Observe(subject, n)
	}
	if coverage < 0.86 {
		t.Fatalf("coverage of quantile 0.9 is %v", coverage)
	}
}

// For any hint and any earlier errors, the curve starts at one, never rises and
// keeps a positive tail.
func TestHintsKeepCurveValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEstimator(Options{})
		subject := Subject{Model: "m", Organisation: "o", Route: "r", PromptTokens: 100}
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			subject.Hint = rapid.IntRange(0, 1<<24).Draw(t, "hint")
			e.Observe(subject, rapid.IntRange(1, 100_000).Draw(t, "length"))
		}
		subject.Hint = rapid.IntRange(1, 1<<24).Draw(t, "last hint")
		s := e.Estimate(subject)
		if s.beyond[0] != 1 {
			t.Fatalf("the curve starts at %v, want 1", s.beyond[0])
		}
		for i := 1; i < numEdges; i++ {
			if s.beyond[i] > s.beyond[i-1]+1e-6 || !(s.beyond[i] > 0) {
				t.Fatalf("edge %d: probability %v after %v", i, s.beyond[i], s.beyond[i-1])
			}
		}
	})
}
