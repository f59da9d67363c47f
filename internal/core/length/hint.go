package length

import "math"

// Weights of callers' hints.
const (
	// hintPrior is the weight of the prior error, in answers, beside the observed
	// errors.
	hintPrior = 4
	// hintVariance is the prior variance of the logarithm of actual over hinted
	// length. One standard deviation is a factor of 4.5, which is a usual error.
	hintVariance = 2.25
	// minHintVariance is the least variance assumed for hints, as a series of
	// hints may be right by chance. One standard deviation is a factor of 1.3.
	minHintVariance = 0.0625
	// unhintedFraction is the fraction of the curve that no hint changes. A
	// caller that starts to send wrong hints, by mistake or to be served first,
	// can't remove the long tail from its estimate.
	unhintedFraction = 0.1
)

// hintErrors accumulates the errors of hints, as moments of the logarithm of actual
// over hinted length; older answers decay.
type hintErrors struct {
	count   float32
	sum     float32
	squares float32
}

// add records the actual length of an answer whose request had a hint.
func (h *hintErrors) add(hint, outputTokens, window int) {
	if hint <= 0 || outputTokens <= 0 {
		return
	}
	if h.count >= float32(window) {
		h.count, h.sum, h.squares = h.count/2, h.sum/2, h.squares/2
	}
	x := float32(math.Log(float64(outputTokens) / float64(hint)))
	h.count++
	h.sum += x
	h.squares += x * x
}

// hintError is the expected error of the next hint: mean and variance of the
// logarithm of actual over hinted length.
type hintError struct {
	mean     float64
	variance float64
}

// blendErrors combines the errors of an organisation with the pooled errors, and
// those with the prior error.
func blendErrors(own, pooled *hintErrors) hintError {
	weight := hintPrior + float64(pooled.count)
	mean := float64(pooled.sum) / weight
	meanSquare := (hintPrior*hintVariance + float64(pooled.squares)) / weight
	ownWeight := pooledWeight + float64(own.count)
	mean = (pooledWeight*mean + float64(own.sum)) / ownWeight
	meanSquare = (pooledWeight*meanSquare + float64(own.squares)) / ownWeight
	return hintError{mean: mean, variance: max(minHintVariance, meanSquare-mean*mean)}
}

// applyHint applies a hint to the curve: it weights each bucket with the likelihood
// of the hint for an answer of that length.
func (s *Survival) applyHint(hint int, e hintError) {
	var weights [numEdges]float64
	var total float64
	centre := math.Log(float64(hint)) + e.mean
	for i := range weights {
		deviation := logMidpoints[i] - centre
		weights[i] = s.bucketProbability(i) * math.Exp(-deviation*deviation/(2*e.variance))
		total += weights[i]
	}
	if total <= 0 {
		// The hint is beyond all likely lengths, so it is ignored.
		return
	}
	var beyond float64
	for i := numEdges - 1; i >= 0; i-- {
		beyond += weights[i] / total
		s.beyond[i] = float32(unhintedFraction*float64(s.beyond[i]) + (1-unhintedFraction)*min(1, beyond))
	}
}

// bucketProbability returns the probability that the length lies in a bucket.
func (s *Survival) bucketProbability(i int) float64 {
	if i == numEdges-1 {
		return float64(s.beyond[i])
	}
	return float64(s.beyond[i]) - float64(s.beyond[i+1])
}

// logMidpoints are the logarithms of the representative lengths of the buckets.
var logMidpoints = makeLogMidpoints()

func makeLogMidpoints() [numEdges]float64 {
	var m [numEdges]float64
	m[0] = math.Log(firstEdge / 2)
	for i := 1; i < numEdges; i++ {
		// Edges grow by the square root of two.
		m[i] = math.Log(edges[i]) + math.Ln2/4
	}
	return m
}
