// Package load replays a workload against routers and reports what callers
// observe: stalls, gaps between tokens, time to first token, outcomes and
// completeness.
package load

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Workload is the content of a workload file.
type Workload struct {
	Name              string         `json:"name" validate:"required"`
	Seed              uint64         `json:"seed"`
	Duration          time.Duration  `json:"duration" validate:"min=1s,max=24h"`
	ArrivalsPerSecond float64        `json:"arrivals_per_second" validate:"gt=0,max=100000"`
	Burst             Burst          `json:"burst"`
	Organisations     []Organisation `json:"organisations" validate:"min=1,max=10000,dive"`
	Classes           []Class        `json:"classes" validate:"min=1,max=100,dive"`
	// StallThreshold is the longest gap between tokens that does not count as a
	// stall.
	StallThreshold time.Duration `json:"stall_threshold" validate:"min=1ms"`
}

// Burst multiplies the arrival rate by Factor during the first Length of every
// Period.
type Burst struct {
	Factor float64       `json:"factor" validate:"omitempty,min=1,max=1000"`
	Period time.Duration `json:"period" validate:"required_with=Factor"`
	Length time.Duration `json:"length" validate:"ltefield=Period"`
}

// Organisation is a caller, its bearer key, and its relative share of the
// arrivals.
type Organisation struct {
	Name   string  `json:"name" validate:"required"`
	Key    string  `json:"key" validate:"required"`
	Weight float64 `json:"weight" validate:"gt=0"`
}

// Class is a kind of request, to a model or to a plain service.
type Class struct {
	Name   string  `json:"name" validate:"required"`
	Weight float64 `json:"weight" validate:"gt=0"`
	Model  string  `json:"model" validate:"required_without=Service"`
	// PromptTokens is the mean prompt length.
	PromptTokens int `json:"prompt_tokens" validate:"min=0,max=100000"`
	// OutputTokens is the median, and OutputSigma the sigma, of the lognormal
	// distribution of output lengths.
	OutputTokens int     `json:"output_tokens" validate:"min=0,max=100000"`
	OutputSigma  float64 `json:"output_sigma" validate:"min=0,max=3"`
	// SharedPrefix is the fraction of the prompt that is the same in all
	// requests of the class.
	SharedPrefix float64 `json:"shared_prefix" validate:"min=0,max=1"`
	Service      string  `json:"service"`
	Path         string  `json:"path"`
	// NonIdempotent calls carry an idempotency key and are never sent twice.
	NonIdempotent bool `json:"non_idempotent"`
}

// WorkloadDefaults returns the values of fields that a workload file omits.
func WorkloadDefaults() Workload {
	return Workload{Seed: 1, Duration: 10 * time.Second, StallThreshold: time.Second}
}

// Arrival is one planned request. Organisation and Class are indices into the
// workload.
type Arrival struct {
	At           time.Duration
	Organisation int
	Class        int
	PromptTokens int
	OutputTokens int
}

// maxOutputTokens limits randomly drawn output lengths.
const maxOutputTokens = 30_000

// Plan draws the arrivals of the workload at random. The same workload and seed
// always give the same plan.
func (w *Workload) Plan() []Arrival {
	rng := rand.New(rand.NewPCG(w.Seed, 0))
	organisations := make([]float64, len(w.Organisations))
	for i, o := range w.Organisations {
		organisations[i] = o.Weight
	}
	classes := make([]float64, len(w.Classes))
	for i, c := range w.Classes {
		classes[i] = c.Weight
	}
	var plan []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / w.rate(at) * float64(time.Second))
		if at >= w.Duration {
			return plan
		}
		a := Arrival{At: at, Organisation: pickWeighted(rng, organisations), Class: pickWeighted(rng, classes)}
		class := &w.Classes[a.Class]
		a.PromptTokens = max(1, int(float64(class.PromptTokens)*(0.5+rng.Float64())))
		factor := math.Exp(class.OutputSigma * rng.NormFloat64())
		a.OutputTokens = min(maxOutputTokens, max(1, int(float64(class.OutputTokens)*factor)))
		plan = append(plan, a)
	}
}

// rate returns the arrivals per second at the given time after the start.
func (w *Workload) rate(at time.Duration) float64 {
	if w.Burst.Factor > 1 && w.Burst.Period > 0 && at%w.Burst.Period < w.Burst.Length {
		return w.ArrivalsPerSecond * w.Burst.Factor
	}
	return w.ArrivalsPerSecond
}

func pickWeighted(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	at := rng.Float64() * sum
	for i, weight := range weights {
		at -= weight
		if at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// prompt builds a prompt of the planned length that contains the directive for
// the engine stand-in. n makes it unique, apart from the shared prefix.
func (a *Arrival) prompt(class *Class, n int, bytesPerToken int, directive string) string {
	length := a.PromptTokens * bytesPerToken
	sharedLength := int(float64(length) * class.SharedPrefix)
	var b strings.Builder
	b.WriteString(filler(class.Name, sharedLength))
	b.WriteString(directive)
	uniqueLength := max(0, length-b.Len())
	b.WriteString(filler(class.Name+"-"+itoa(n), uniqueLength))
	return b.String()
}

func filler(word string, length int) string {
	word += " "
	return strings.Repeat(word, length/len(word)+1)[:length]
}
