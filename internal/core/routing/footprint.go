package routing

import (
	"math"

	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
)

// horizons are the numbers of decoding steps ahead for which cache use is
// estimated. All generations of a batch grow by one token per step, so the
// step count serves as their common time.
var horizons = [...]int{0, 128, 384, 768, 1536, 3072, 6144}

const numHorizons = len(horizons)

// footprint is the estimated cache use of generations at each horizon, in
// tokens. The variance distinguishes a sum of many short answers from one
// answer that may end soon or continue for thousands of tokens.
type footprint struct {
	mean     [numHorizons]float64
	variance [numHorizons]float64
}

// aliveChance returns the probability that a generation that now has the
// given number of context tokens still runs at each horizon.
func (f *footprint) aliveChance(context float64) [numHorizons]float64 {
	var out [numHorizons]float64
	for k, ahead := range horizons {
		out[k] = f.mean[k] / (context + float64(ahead))
	}
	return out
}

// set computes the footprint of one generation. While it runs it uses its
// context plus growth; after its end it uses nothing.
func (f *footprint) set(s *length.Survival, promptTokens, generated, maxTokens int) {
	context := float64(promptTokens + generated)
	aliveNow := s.Beyond(generated)
	for k, ahead := range horizons {
		alive := 1.0
		if ahead > 0 && aliveNow > 0 {
			alive = s.Beyond(generated+ahead) / aliveNow
		}
		if maxTokens > 0 && generated+ahead >= maxTokens {
			alive = 0
		}
		use := context + float64(ahead)
		f.mean[k] = use * alive
		f.variance[k] = use * use * alive * (1 - alive)
	}
}

func (f *footprint) add(o *footprint) {
	for k := range horizons {
		f.mean[k] += o.mean[k]
		f.variance[k] += o.variance[k]
	}
}

func (f *footprint) subtract(o *footprint) {
	for k := range horizons {
		f.mean[k] -= o.mean[k]
		f.variance[k] -= o.variance[k]
	}
}

// peak returns the largest expected use over the horizons.
func (f *footprint) peak() float64 {
	top := f.mean[0]
	for _, m := range f.mean[1:] {
		top = max(top, m)
	}
	return top
}

// work returns the cost of a generation: the expected cache use, summed over
// the decoding steps.
func (f *footprint) work() float64 {
	var sum float64
	for k := 1; k < numHorizons; k++ {
		sum += (f.mean[k-1] + f.mean[k]) / 2 * float64(horizons[k]-horizons[k-1])
	}
	return sum
}

// Overflow probabilities are read from a table, because a decision needs
// several for each candidate.
const (
	certainDeviations = 5
	chanceSteps       = 64
)

var chanceTable = makeChanceTable()

func makeChanceTable() [2*certainDeviations*chanceSteps + 1]float64 {
	var t [2*certainDeviations*chanceSteps + 1]float64
	for i := range t {
		t[i] = 0.5 * math.Erfc((float64(i)/chanceSteps-certainDeviations)/math.Sqrt2)
	}
	return t
}

// overflowChance returns the probability that a normally distributed cache
// use exceeds the capacity, given the distance of its mean from the capacity
// in standard deviations.
func overflowChance(deviations float64) float64 {
	if deviations >= certainDeviations {
		return 0
	}
	if deviations <= -certainDeviations {
		return 1
	}
	return chanceTable[int((deviations+certainDeviations)*chanceSteps)]
}
