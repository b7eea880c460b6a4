package fixedseed

import "math/rand/v2"

// Inputs is how many inputs Mutate makes.
const Inputs = 5000

// mostEdits bounds the edits that turn an example into an input.
const mostEdits = 6

// Mutate calls f with Inputs inputs made from examples by random edits, the
// same ones every time. It is what CI runs of a fuzz target; the fuzzer itself
// is led by coverage and never tries the same twice.
func Mutate(examples [][]byte, f func(input []byte)) {
	rng := rand.New(rand.NewPCG(1, uint64(len(examples))))
	for range Inputs {
		input := append([]byte(nil), examples[rng.IntN(len(examples))]...)
		for range 1 + rng.IntN(mostEdits) {
			input = edit(rng, input)
		}
		f(input)
	}
}

// edit changes, takes out, doubles or puts in a few bytes.
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
