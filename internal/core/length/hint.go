package length

import "math"

// Weights of callers' hints.
const (
	// hintPrior is how many answers the cautious error counts for beside the
	// observed ones.
	hintPrior = 4
	// hintVariance is the cautious error of a hint, as the variance of the
	// logarithm of true over hinted length: a factor of 4.5 off is usual.
	hintVariance = 2.25
	// leastHintVariance bounds what is believed of hints that were right by
	// chance: a factor of 1.3 off.
	leastHintVariance = 0.0625
	// hintDoubt is the part of the curve that no hint changes. A caller that
	// begins to hint wrongly, by mistake or to be served first, can't take the
	// long tail out of its estimate.
	hintDoubt = 0.1
)

// hintErrors follows how far callers' hints were off, as moments of the
// logarithm of true over hinted length; older answers fade.
type hintErrors struct {
	count   float32
	sum     float32
	squares float32
}

// add takes the true length of an answer that came with a hint.
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

// hintError is what is believed of the next hint: how far true lengths lie from
// it, in logarithms.
type hintError struct {
	mean     float64
	variance float64
}

// blendErrors weighs an organisation's own errors with those of all, and these
// with the cautious error.
func blendErrors(own, pooled *hintErrors) hintError {
	weight := hintPrior + float64(pooled.count)
	mean := float64(pooled.sum) / weight
	square := (hintPrior*hintVariance + float64(pooled.squares)) / weight
	ownWeight := pooledWeight + float64(own.count)
	mean = (pooledWeight*mean + float64(own.sum)) / ownWeight
	square = (pooledWeight*square + float64(own.squares)) / ownWeight
	return hintError{mean: mean, variance: max(leastHintVariance, square-mean*mean)}
}

// weigh takes a hint into the curve: each bucket counts by how likely the hint
// is for an answer of its length.
func (s *Survival) weigh(hint int, e hintError) {
	var part [numEdges]float64
	var total float64
	centre := math.Log(float64(hint)) + e.mean
	for i := range part {
		off := middles[i] - centre
		part[i] = s.part(i) * math.Exp(-off*off/(2*e.variance))
		total += part[i]
	}
	if total <= 0 {
		// The hint lies beyond all that is likely: it says nothing.
		return
	}
	var beyond float64
	for i := numEdges - 1; i >= 0; i-- {
		beyond += part[i] / total
		s.beyond[i] = float32(hintDoubt*float64(s.beyond[i]) + (1-hintDoubt)*min(1, beyond))
	}
}

// part is the chance that the answer's length lies in a bucket.
func (s *Survival) part(i int) float64 {
	if i == numEdges-1 {
		return float64(s.beyond[i])
	}
	return float64(s.beyond[i]) - float64(s.beyond[i+1])
}

// middles are the logarithms of the lengths that stand for the buckets.
var middles = makeMiddles()

func makeMiddles() [numEdges]float64 {
	var m [numEdges]float64
	m[0] = math.Log(firstEdge / 2)
	for i := 1; i < numEdges; i++ {
		// Edges grow by the square root of two.
		m[i] = math.Log(edges[i]) + math.Ln2/4
	}
	return m
}
