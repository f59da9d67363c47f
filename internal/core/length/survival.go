package length

import "math"

// A curve is stored at edges that grow by the square root of two: 0, 8, 11, 16, ...
// 32768. A last bucket holds all longer lengths.
const (
	firstEdge = 8
	numEdges  = 26
)

// edges are the lengths at which a curve is stored.
var edges = makeEdges()

func makeEdges() [numEdges]float64 {
	var e [numEdges]float64
	for i := 1; i < numEdges; i++ {
		e[i] = math.Round(firstEdge * math.Pow(2, float64(i-1)/2))
	}
	return e
}

// bucketOf returns the bucket of a length. Bucket i covers lengths above edge i, up
// to and including edge i+1; the last bucket has no upper edge.
func bucketOf(tokens int) int {
	if tokens <= firstEdge {
		return 0
	}
	// Estimate the bucket; rounding moves the edges by less than one.
	i := int(2*math.Log2(float64(tokens)/firstEdge)) + 1
	i = min(i, numEdges-1)
	for i > 0 && float64(tokens) <= edges[i] {
		i--
	}
	for i < numEdges-1 && float64(tokens) > edges[i+1] {
		i++
	}
	return i
}

// Survival is the survival function of the answer length: the probability that an
// answer is longer than n tokens. The zero value is the cautious curve, which
// applies without observations. It is a value that later observations don't change.
type Survival struct {
	// beyond[i] is the probability of a length above edges[i].
	beyond [numEdges]float32
}

// Beyond returns the probability that the answer is longer than n tokens.
func (s *Survival) Beyond(n int) float64 {
	if n <= 0 {
		return 1
	}
	if s.beyond[0] == 0 {
		return cautiousBeyond(float64(n))
	}
	b := bucketOf(n)
	low := float64(s.beyond[b])
	if b == numEdges-1 {
		return low * edges[b] / float64(n)
	}
	fraction := (float64(n) - edges[b]) / (edges[b+1] - edges[b])
	return low + fraction*(float64(s.beyond[b+1])-low)
}

// BeyondGiven returns the probability that an answer with seen tokens gets more than
// ahead further ones.
func (s *Survival) BeyondGiven(seen, ahead int) float64 {
	beyondSeen := s.Beyond(seen)
	if beyondSeen <= 0 {
		return 0
	}
	return s.Beyond(seen+ahead) / beyondSeen
}

// Quantile returns the total length that the answer doesn't exceed with probability
// q, given the tokens seen.
func (s *Survival) Quantile(seen int, q float64) int {
	target := (1 - q) * s.Beyond(seen)
	low, high := seen, seen+1
	for high < maxQuantile && s.Beyond(high) > target {
		low, high = high, 2*high
	}
	for high-low > 1 {
		middle := low + (high-low)/2
		if s.Beyond(middle) > target {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// maxQuantile bounds the search of Quantile.
const maxQuantile = 1 << 20

// cautiousMedian is the median length of the cautious curve.
const cautiousMedian = 256

// cautiousBeyond is the cautious curve, for a class without observations. It has a
// heavy tail: the longer an answer already is, the longer it is expected to
// continue. With a light tail, the first long answer would overrun the room that
// was reserved for it.
func cautiousBeyond(n float64) float64 { return cautiousMedian / (cautiousMedian + n) }
