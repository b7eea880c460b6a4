package fixedseed

import "math/rand/v2"

// InputCount is the number of inputs that Mutate generates.
const InputCount = 5000

// maxEdits bounds the number of edits applied to an example.
const maxEdits = 6

// Mutate calls f with InputCount inputs generated from examples by random edits with a
// fixed seed. CI calls it in place of the fuzzer, whose coverage-guided inputs differ
// from run to run.
func Mutate(examples [][]byte, f func(input []byte)) {
	rng := rand.New(rand.NewPCG(1, uint64(len(examples))))
	for range InputCount {
		input := append([]byte(nil), examples[rng.IntN(len(examples))]...)
		for range 1 + rng.IntN(maxEdits) {
			input = edit(rng, input)
		}
		f(input)
	}
}

// edit overwrites, removes, duplicates or inserts a few bytes at a random position.
func edit(rng *rand.Rand, input []byte) []byte {
	if len(input) == 0 {
		return []byte{byte(rng.Uint32())}
	}
	from := rng.IntN(len(input))
	to := min(from+1+rng.IntN(8), len(input))
	switch rng.IntN(4) {
	case 0:
		input[from] = byte(rng.Uint32())
		return input
	case 1:
		return append(input[:from], input[to:]...)
	case 2:
		return append(append(append([]byte(nil), input[:to]...), input[from:to]...), input[to:]...)
	default:
		return append(append(append([]byte(nil), input[:from]...), byte(rng.Uint32())), input[from:]...)
	}
}
