package standin

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hoistjunction/hoistjunction/catalog"
)

// engineModel says how an engine works: what it is, how long its loads and events take, and what
// a stream takes of its memory.
type engineModel interface {
	// accelerator is its accelerator's, layers the model's, slots how many streams it works on.
	accelerator() string
	layers() int
	slots() int
	// loadDuration is the time that layers take to be loaded, and room the memory for streams that
	// is left beside them, in tokens times layers.
	loadDuration(layers int) time.Duration
	streamCapacity(layers int) float64
	// streamTokens is what a stream takes of that for each layer, by its request.
	streamTokens(r *http.Request) float64
	// promptTime is how long a prompt takes in this part of a chain, and step an event.
	promptTime(r *http.Request, layers int) time.Duration
	eventTime(layers, streams int) time.Duration
	// eventCount is how many events the stream of a path has.
	eventCount(path string) int
}

// siteModel is that of the small site of tests and soaks.
type siteModel struct{}

func (siteModel) accelerator() string                         { return SiteAccelerator }
func (siteModel) layers() int                                 { return SiteLayers }
func (siteModel) slots() int                                  { return siteSlots }
func (siteModel) loadDuration(int) time.Duration              { return loadTime }
func (siteModel) streamCapacity(int) float64                  { return engineMemory }
func (siteModel) streamTokens(*http.Request) float64          { return streamMemory }
func (siteModel) promptTime(*http.Request, int) time.Duration { return 0 }
func (siteModel) eventTime(layers, _ int) time.Duration {
	return eventInterval * time.Duration(layers) / SiteLayers
}
func (siteModel) eventCount(path string) int { return SiteEventCount(path) }

// siteSlots is how many streams an engine of the small site works on.
const siteSlots = 64

// PipelineModel is that of an engine of a deployment: an accelerator for a pipeline, at its real
// pace.
type PipelineModel struct {
	Pipeline    *catalog.Pipeline
	Accelerator catalog.Accelerator
	Slots       int
	// EventTokens is how many tokens an event of a stream holds.
	EventTokens int
}

func (m *PipelineModel) accelerator() string { return m.Accelerator.Name }
func (m *PipelineModel) layers() int         { return m.Pipeline.Layers }
func (m *PipelineModel) slots() int          { return m.Slots }

func (m *PipelineModel) loadDuration(layers int) time.Duration {
	return millis(m.Pipeline.LoadMS * float64(layers) / float64(m.Pipeline.Layers))
}

func (m *PipelineModel) streamCapacity(layers int) float64 {
	return m.Pipeline.RequestMemory(m.Accelerator, layers)
}

// meanAnswerShare is the part of an answer that a stream takes memory for, on average while it lasts.
const meanAnswerShare = 0.5

func (m *PipelineModel) streamTokens(r *http.Request) float64 {
	prompt, answer := tokenCount(r)
	return StreamTokens(int(prompt), int(answer))
}

// StreamTokens is the memory that a stream takes at each layer, in tokens.
func StreamTokens(prompt, answer int) float64 {
	return float64(prompt) + meanAnswerShare*float64(answer)
}

func (m *PipelineModel) promptTime(r *http.Request, layers int) time.Duration {
	prompt, _ := tokenCount(r)
	return millis(m.Pipeline.ReadTime(m.Accelerator, layers) * prompt)
}

func (m *PipelineModel) eventTime(layers, streams int) time.Duration {
	batch := 1 + m.Pipeline.Pass().StreamSlowdown*float64(streams)
	return millis(m.Pipeline.StepTime(m.Accelerator, layers) * batch * float64(m.EventTokens))
}

// eventCount are named by a path's last word.
func (m *PipelineModel) eventCount(path string) int { return DeploymentEventCount(path) }

// DeploymentEventCount is how many events the stream of a path of a deployment has.
func DeploymentEventCount(path string) int {
	_, last, _ := strings.Cut(path, "~")
	n, err := strconv.Atoi(last)
	if err != nil {
		return 1
	}
	return n
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// tokenCount is what a request says of its prompt, and of the most that may come out.
func tokenCount(r *http.Request) (prompt, answer float64) {
	first, second, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	// A request that says nothing takes nothing.
	prompt, _ = strconv.ParseFloat(first, 64)
	answer, _ = strconv.ParseFloat(second, 64)
	return prompt, answer
}
