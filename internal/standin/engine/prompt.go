package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the number of prompt bytes that count as one token.
const BytesPerToken = 4

// Parameters of the lognormal distribution of output lengths, used if the
// prompt doesn't set the length. Half of the lengths are below the median, one
// in a hundred is above 16 times the median.
const (
	medianTokens = 80
	sigmaTokens  = 1.2
)

// lengthDirective matches the part of a prompt that sets the output length, for
// example [[tokens=120]].
var lengthDirective = regexp.MustCompile(`\[\[tokens=(\d{1,6})\]\]`)

// LengthDirective returns the prompt text that sets the output length to n
// tokens.
func LengthDirective(n int) string { return fmt.Sprintf("[[tokens=%d]]", n) }

// PromptTokens counts the tokens of a prompt.
func PromptTokens(prompt string) int {
	return max(1, (len(prompt)+BytesPerToken-1)/BytesPerToken)
}

// PrefixHashes returns one hash per full block of the prompt. Each covers the
// prompt from its start to the end of the block.
func PrefixHashes(prompt string, blockTokens int) []uint64 {
	blockBytes := blockTokens * BytesPerToken
	digest := xxhash.New()
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	for len(prompt) >= blockBytes {
		// A digest's Write never fails.
		_, _ = digest.WriteString(prompt[:blockBytes])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[blockBytes:]
	}
	return hashes
}

// outputTokens returns the output length that the prompt sets, or else a random
// length. The random length depends only on the seed and the prompt, so it is
// reproducible.
func outputTokens(prompt string, seed uint64) int {
	if match := lengthDirective.FindStringSubmatch(prompt); match != nil {
		n, err := strconv.Atoi(match[1])
		if err == nil {
			return max(1, n)
		}
	}
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(prompt)))
	return max(1, int(medianTokens*math.Exp(sigmaTokens*rng.NormFloat64())))
}

// TokenText returns the token with this index. It contains a hash of the
// generation id and the index, so that a caller can detect a missing,
// duplicated or foreign token.
func TokenText(generation string, index int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(generation)), index)
}

// CheckText checks a concatenation of tokens made by TokenText and returns
// their number. At the first token that is malformed, out of sequence or of
// another generation, it returns an error and the number of tokens before it.
func CheckText(text string) (int, error) {
	first := ""
	fields := strings.Fields(text)
	for want, field := range fields {
		generation, index, found := strings.Cut(field, ".")
		if !found {
			return want, fmt.Errorf("token %d: %q is not of the form GENERATION.INDEX", want, field)
		}
		if first == "" {
			first = generation
		}
		if generation != first {
			return want, fmt.Errorf("token %d: generation hash is %s, want %s", want, generation, first)
		}
		if index != strconv.Itoa(want) {
			return want, fmt.Errorf("token %d: index is %s", want, index)
		}
	}
	return len(fields), nil
}
