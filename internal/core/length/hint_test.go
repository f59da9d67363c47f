package length

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Labels of a few tokens and reports of a thousand are asked of one model with
// prompts of one size. With one curve for both, half of a report's chance lay
// under 50 tokens; each route's own curve knows which of them comes.
func TestRoutesHaveCurvesOfTheirOwn(t *testing.T) {
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
		t.Errorf("nine labels in ten take up to %d tokens", n)
	}
	if n := reports.Quantile(0, 0.1); n < 100 {
		t.Errorf("a report in ten takes up to %d tokens", n)
	}
}

// An operator splits a route in two. Nothing was seen of the new one, whose
// requests are estimated by what the model's others were.
func TestNewRouteBeginsWithItsModelsCurve(t *testing.T) {
	e := NewEstimator(Options{})
	for range 200 {
		e.Observe(Subject{Model: "m", Organisation: "o", Route: "old", PromptTokens: 100}, 20)
	}
	s := e.Estimate(Subject{Model: "m", Organisation: "o", Route: "new", PromptTokens: 100})
	if n := s.Quantile(0, 0.9); n > 40 {
		t.Fatalf("the new route's answers take up to %d tokens", n)
	}
}

// Hints are right at the median and off by a factor of three; they narrow the
// estimate, and what is promised still holds.
func TestHintsNarrowTheEstimate(t *testing.T) {
	r := rand.New(rand.NewPCG(11, 12))
	e := NewEstimator(Options{})
	of := Subject{Model: "m", Organisation: "o", Route: "report", PromptTokens: 100}
	var with, without float64
	under := make([]float64, len(promised))
	const draws = 4000
	for range draws {
		n := lognormal(r, 400, 1.1)
		blind := e.Estimate(of)
		hinted := of
		hinted.Hint = max(1, int(float64(n)*math.Exp(1.1*r.NormFloat64())))
		s := e.Estimate(hinted)
		for i, q := range promised {
			if n <= s.Quantile(0, q) {
				under[i] += 1.0 / draws
			}
		}
		with += math.Abs(math.Log(float64(s.Quantile(0, 0.5)) / float64(n)))
		without += math.Abs(math.Log(float64(blind.Quantile(0, 0.5)) / float64(n)))
		e.Observe(hinted, n)
	}
	t.Logf("promised %v seen %.3f; mean error of the median %.3f with hints, %.3f without", promised, under, with/draws, without/draws)
	if with > 0.8*without {
		t.Errorf("the median is off by %.3f with hints, by %.3f without", with/draws, without/draws)
	}
	for i, q := range promised {
		if math.Abs(under[i]-q) > 0.05 {
			t.Errorf("promised %v, seen %v", q, under[i])
		}
	}
}

// An organisation hints at a tenth of what it asks for, to be served first. The
// error is learned, and its reports are soon estimated as long as they are.
func TestWrongHintsAreLearned(t *testing.T) {
	r := rand.New(rand.NewPCG(13, 14))
	e := NewEstimator(Options{})
	of := Subject{Model: "m", Organisation: "liar", Route: "report", PromptTokens: 100}
	under := 0.0
	const learned, asked = 100, 400
	for i := range learned + asked {
		n := lognormal(r, 800, 0.8)
		of.Hint = max(1, n/10)
		s := e.Estimate(of)
		if i >= learned && n <= s.Quantile(0, 0.9) {
			under += 1.0 / asked
		}
		e.Observe(of, n)
	}
	if under < 0.86 {
		t.Fatalf("promised 0.9, seen %v", under)
	}
}

// Whatever a hint says and however others erred, the curve is one: it starts at
// one, never rises, and keeps a tail.
func TestAnyHintLeavesACurve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEstimator(Options{})
		of := Subject{Model: "m", Organisation: "o", Route: "r", PromptTokens: 100}
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			of.Hint = rapid.IntRange(0, 1<<24).Draw(t, "hint")
			e.Observe(of, rapid.IntRange(1, 100_000).Draw(t, "length"))
		}
		of.Hint = rapid.IntRange(1, 1<<24).Draw(t, "last hint")
		s := e.Estimate(of)
		if s.beyond[0] != 1 {
			t.Fatalf("the curve begins with %v", s.beyond[0])
		}
		for i := 1; i < numEdges; i++ {
			if s.beyond[i] > s.beyond[i-1]+1e-6 || !(s.beyond[i] > 0) {
				t.Fatalf("edge %d: %v after %v", i, s.beyond[i], s.beyond[i-1])
			}
		}
	})
}
