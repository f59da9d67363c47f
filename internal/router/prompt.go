package router

import "github.com/cespare/xxhash/v2"

// Constants for estimating a prompt's tokens and prefix without a tokenizer.
const (
	bytesPerToken = 4
	// prefixBlockBytes is the size of a prefix block, and maxPrefixBlocks bounds the
	// number of hashes per prompt.
	prefixBlockBytes = 64
	maxPrefixBlocks  = 64
)

// PromptTokens estimates the number of tokens in a prompt.
func PromptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// PrefixHashes returns the hashes of the prompt's leading blocks. Each hash covers
// the prompt from its start to the end of the block. The hashes are hints and must
// not be relied on for correctness.
func PrefixHashes(prompt string) []uint64 {
	n := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	out := make([]uint64, 0, n)
	digest := xxhash.New()
	for i := range n {
		// A digest's writes don't fail.
		_, _ = digest.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		out = append(out, digest.Sum64())
	}
	return out
}
