// Package fixedseed makes rapid's tests reproducible by setting a fixed seed.
// Test files import it for this side effect. To run with another seed, set
// DRAGONFLYRAIL_SEED to a number or to "random".
package fixedseed

import (
	"flag"
	"math/rand/v2"
	"os"
	"strconv"

	// Importing rapid registers the flags that init sets.
	_ "pgregory.net/rapid"
)

// EnvSeed is the environment variable that overrides the fixed seed.
const EnvSeed = "DRAGONFLYRAIL_SEED"

const defaultSeed = "20261202"

func init() {
	seed := os.Getenv(EnvSeed)
	switch seed {
	case "":
		seed = defaultSeed
	case "random":
		seed = strconv.FormatUint(rand.Uint64()|1, 10)
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("fixedseed: " + err.Error())
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic("fixedseed: " + err.Error())
	}
}
