package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hoistjunction/hoistjunction/load"
)

// prompts are typical client prompts: short, and many with a common prefix.
var prompts = []string{
	"Redacte un aviso en castellano llano: expediente %d, audiencia el lunes a las 9:30, sala 3.",
	"오늘의 가격표를 써 주세요: 배추 한 포기 %d원, 무 한 개 1,800원.",
	"¿Cuándo es mi audiencia? Expediente %d.",
}

// Bounds of the number of tokens in a request, drawn from a uniform distribution.
const (
	minTokens = 8
	maxTokens = 32
)

// PoissonLoad generates requests of one account that arrive as a Poisson process.
type PoissonLoad struct {
	PerSecond float64
	Duration  time.Duration
	Account   string
}

// Items returns the requests of a run in the order of their arrival.
func (p PoissonLoad) Items(seed uint64) []load.Item {
	account := p.Account
	if account == "" {
		account = "clinic"
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	var items []load.Item
	for at := 0.0; ; {
		at += rng.ExpFloat64() / p.PerSecond
		if at >= p.Duration.Seconds() {
			return items
		}
		items = append(items, load.Item{
			ArrivalMS: int64(at * 1000), Account: account, Route: "notices",
			Prompt:    fmt.Sprintf(prompts[rng.IntN(len(prompts))], rng.IntN(10_000)),
			MaxTokens: minTokens + rng.IntN(maxTokens-minTokens+1),
		})
	}
}

// FloodLoad generates requests of one account at three times PerSecond, and of
// three small accounts that together send less than half of PerSecond.
type FloodLoad struct {
	PerSecond float64
	Duration  time.Duration
}

// Items returns the requests of a run in the order of their arrival.
func (f FloodLoad) Items(seed uint64) []load.Item {
	items := PoissonLoad{PerSecond: 3 * f.PerSecond, Duration: f.Duration, Account: "flood"}.Items(seed)
	for i, name := range []string{"small-1", "small-2", "small-3"} {
		small := PoissonLoad{PerSecond: 0.12 * f.PerSecond, Duration: f.Duration, Account: name}.Items(seed + uint64(i) + 100)
		items = merge(items, small)
	}
	return items
}

func merge(a, b []load.Item) []load.Item {
	merged := make([]load.Item, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].ArrivalMS <= b[0].ArrivalMS {
			merged, a = append(merged, a[0]), a[1:]
			continue
		}
		merged, b = append(merged, b[0]), b[1:]
	}
	return append(append(merged, a...), b...)
}
