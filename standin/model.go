package standin

// digestSeed keeps the digests of the stand-in's model apart from other uses of the
// same mixing function.
const digestSeed = 0x9e3779b97f4a7c15

// mix folds two numbers into one (the finisher of splitmix64, Steele and
// others, 2014).
func mix(a, b uint64) uint64 {
	x := a*digestSeed + b
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// embedToken turns a token at a position into the first layer's input.
func embedToken(token uint32, position uint32) uint64 {
	return mix(uint64(token)+1, uint64(position)+1)
}

// runLayer runs one layer at one position. The cache is the layer's running
// digest over all positions so far.
func runLayer(layer, position uint32, cache *uint64, input uint64) uint64 {
	*cache = mix(*cache^input, uint64(layer)<<32|uint64(position))
	return mix(input, *cache)
}

// syllables are what tokens look like as text.
var syllables = [...]string{
	"au", "dien", "cia ", "juz", "ga", "do ", "lu", "nes ", "no", "ti", "fi", "ca", "expe", "dien", "te ", "ho", "ra ",
	"배추 ", "무 ", "가격 ", "주문 ", "확인 ", "오늘 ", "정오 ", "상자 ", "원 ", "감사 ", "수령 ", "재고 ", "판매 ", "시장 ", "아침 ",
}

// chooseToken makes a token of the last layer's output. About one answer in a
// hundred tokens ends by itself.
func chooseToken(output uint64) (token uint32, last bool) {
	return uint32(output % uint64(len(syllables))), (output>>32)%100 == 0
}

// tokenText returns a token as text.
func tokenText(token uint32) string { return syllables[token%uint32(len(syllables))] }

// tokenize splits a prompt into tokens, one for each character.
func tokenize(prompt string) []uint32 {
	var tokens []uint32
	for _, r := range prompt {
		tokens = append(tokens, uint32(r))
	}
	return tokens
}

// ReferenceAnswer returns the answer that a model of so many layers gives to a
// prompt, worked out in one piece.
func ReferenceAnswer(prompt string, layers uint32, maxTokens int) []string {
	caches := make([]uint64, layers)
	var texts []string
	position := uint32(0)
	next := tokenize(prompt)
	for len(texts) < maxTokens {
		var output uint64
		for _, token := range next {
			output = embedToken(token, position)
			for layer := range layers {
				output = runLayer(layer, position, &caches[layer], output)
			}
			position++
		}
		token, last := chooseToken(output)
		texts = append(texts, tokenText(token))
		if last {
			break
		}
		next = []uint32{token}
	}
	return texts
}
