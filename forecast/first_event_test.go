package forecast_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/forecast"
	"github.com/hoistjunction/hoistjunction/internal/script"
)

// Guards against predictions that differ from the time that the engines' passes, the hops and the
// known load add up to.
func TestFirstEvent(t *testing.T) {
	script.Run(t, "testdata", func(t *testing.T) func(script.Step) []string { return new(firstEventCase).step })
}

// firstEventCase is the case that the last lines of a script describe.
type firstEventCase struct {
	pass   catalog.Pass
	prompt float64
	stages []forecast.Stage
}

// step reads a line of a script, and returns the prediction for the lines so far.
func (c *firstEventCase) step(s script.Step) []string {
	if s.Verb == "case" {
		c.pass = catalog.Pass{DecodeSteps: 4, MaxPromptTokens: number(s, "bound", 500), StreamSlowdown: 0.1}
		c.prompt, c.stages = number(s, "prompt", 0), nil
	} else {
		c.stages = append(c.stages, forecast.Stage{
			StepTime: 0.25, ReadTime: 0.02, Slowdown: number(s, "slowdown", 1), WaitingTokens: number(s, "own", 0) + number(s, "reported", 0),
			Batch: number(s, "batch", 0), Hop: number(s, "hop", 0), Streams: s.Int("streams", 0), Slots: s.Int("slots", 0), StreamTime: 3000,
		})
	}
	if len(s.Want) == 0 {
		return nil
	}
	return []string{strconv.FormatFloat(forecast.FirstEvent(c.pass, c.prompt, c.stages), 'g', 8, 64)}
}

func number(s script.Step, name string, fallback float64) float64 {
	if n, err := strconv.ParseFloat(s.Params[name], 64); err == nil {
		return n
	}
	return fallback
}

// Guards against loads that make a prediction earlier. Admission would then prefer loaded engines.
func TestMoreLoadIsNeverEarlier(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	for range 5000 {
		pass := catalog.Pass{DecodeSteps: 1 + 7*random.Float64(), MaxPromptTokens: 1000 * random.Float64(), StreamSlowdown: random.Float64()}
		stages := make([]forecast.Stage, 1+random.IntN(9))
		for i := range stages {
			stages[i] = randomStage(random)
		}
		prompt := 2000 * random.Float64()
		before := forecast.FirstEvent(pass, prompt, stages)
		loaded := &stages[random.IntN(len(stages))]
		switch random.IntN(4) {
		case 0:
			loaded.WaitingTokens += 1000 * random.Float64()
		case 1:
			loaded.Streams, loaded.Batch = loaded.Streams+1, loaded.Batch+random.Float64()
		case 2:
			loaded.Slowdown += random.Float64()
		default:
			prompt += 500 * random.Float64()
		}
		if after := forecast.FirstEvent(pass, prompt, stages); after < before {
			t.Fatalf("got %v ms with more load, want at least %v; prompt %v, stages %+v", after, before, prompt, stages)
		}
	}
}

func randomStage(random *rand.Rand) forecast.Stage {
	return forecast.Stage{
		StepTime: random.Float64(), ReadTime: 0.1 * random.Float64(), Slowdown: 3 * random.Float64(), WaitingTokens: 5000 * random.Float64(),
		Batch: 30 * random.Float64(), Hop: random.Float64(), Streams: random.IntN(40), Slots: random.IntN(30), StreamTime: 3000,
	}
}

func BenchmarkFirstEvent(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	stages := make([]forecast.Stage, 10)
	for i := range stages {
		stages[i] = randomStage(random)
	}
	pass := catalog.Pass{DecodeSteps: 4, MaxPromptTokens: 512, StreamSlowdown: 0.01}
	for b.Loop() {
		forecast.FirstEvent(pass, 775, stages)
	}
}
