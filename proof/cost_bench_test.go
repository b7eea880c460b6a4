package proof

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/load"
	"github.com/hoistjunction/hoistjunction/testbed"
)

// ticksPerSecond is the number of clock ticks per second in /proc on Linux.
const ticksPerSecond = 100

// BenchmarkNodeProcess measures the processor time per step and the memory of a node
// process at loads that double.
func BenchmarkNodeProcess(b *testing.B) {
	for _, rate := range []int{25, 50, 100} {
		b.Run(fmt.Sprintf("requests=%d/s", rate), func(b *testing.B) {
			for b.Loop() {
				measureNode(b, rate)
			}
		})
	}
}

// measureNode sends requests of 40 tokens for 4 seconds, then measures the idle node for 2 seconds.
func measureNode(b *testing.B, rate int) {
	const length, tokens = 4 * time.Second, 40
	c := startCluster(b, 1)
	var items []load.Item
	for i := range int(length.Seconds()) * rate {
		items = append(items, load.Item{
			ArrivalMS: int64(i * 1000 / rate), Account: "clinic", Route: "notices", MaxTokens: tokens,
			Prompt: fmt.Sprintf("Expediente %d: audiencia el lunes a las 9:30", i),
		})
	}
	before := c.nodes[0].cpu(b)
	results := load.NewRunner([]string{c.nodes[0].caller}, load.WithTries(1), load.WithLayers(testbed.Layers),
		load.WithKeys(map[string]string{"clinic": testbed.AccountKey("clinic")})).Run(context.Background(), items)
	spent := c.nodes[0].cpu(b) - before
	emitted := 0
	for _, r := range results {
		emitted += len(r.Texts)
	}
	const stages = 3
	b.ReportMetric(float64(spent.Microseconds())/float64(emitted*stages), "cpu-us/step")
	b.ReportMetric(float64(emitted*stages)/length.Seconds(), "steps/s")
	b.ReportMetric(float64(c.nodes[0].memory(b))/(1<<20), "rss-MB")
	idle := c.nodes[0].cpu(b)
	time.Sleep(2 * time.Second)
	b.ReportMetric(float64((c.nodes[0].cpu(b)-idle).Milliseconds())/20, "idle-%core")
}

// cpu returns the user and system time that a process has used.
func (p *process) cpu(t testing.TB) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// memory returns the resident memory of a process, in bytes.
func (p *process) memory(t testing.TB) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
