package standin

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hoistjunction/hoistjunction/catalog"
)

// engineModel describes the hardware, the execution times and the memory use of
// an engine.
type engineModel interface {
	// accelerator returns the name of the engine's kind of accelerator.
	accelerator() string
	// layers returns the number of layers of the pipeline.
	layers() int
	// slots returns the maximum number of concurrent streams.
	slots() int
	// loadDuration returns the time to load a number of layers.
	loadDuration(layers int) time.Duration
	// streamCapacity returns the memory for streams on an engine that holds a
	// number of layers, in tokens times layers.
	streamCapacity(layers int) float64
	// streamTokens returns the memory that the stream of a request uses on each
	// layer, in tokens.
	streamTokens(r *http.Request) float64
	// promptTime returns the time to process the prompt of a request.
	promptTime(r *http.Request, layers int) time.Duration
	// eventTime returns the time to execute an event while the engine executes a
	// number of streams.
	eventTime(layers, streams int) time.Duration
	// eventCount returns the number of events of the stream at a path.
	eventCount(path string) int
}

// siteModel is the model of the engines of the small site in tests and soak
// runs.
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

// siteSlots is the maximum number of concurrent streams of a site engine.
const siteSlots = 64

// PipelineModel is the model of a deployment's engine. It has the execution
// times and the memory of an accelerator for a pipeline.
type PipelineModel struct {
	Pipeline    *catalog.Pipeline
	Accelerator catalog.Accelerator
	Slots       int
	// EventTokens is the number of tokens in an event of a stream.
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

// meanAnswerShare is the mean share of an answer that is in memory over the
// duration of its stream.
const meanAnswerShare = 0.5

func (m *PipelineModel) streamTokens(r *http.Request) float64 {
	prompt, answer := tokenCount(r)
	return StreamTokens(int(prompt), int(answer))
}

// StreamTokens returns the mean memory of a stream on each layer, in tokens.
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

func (m *PipelineModel) eventCount(path string) int { return DeploymentEventCount(path) }

// DeploymentEventCount returns the number of events of the stream at a path of a
// deployment: the number after "~" in the path, or 1 if there is none.
func DeploymentEventCount(path string) int {
	_, last, _ := strings.Cut(path, "~")
	n, err := strconv.Atoi(last)
	if err != nil {
		return 1
	}
	return n
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// tokenCount returns the prompt tokens and the maximum answer tokens from a
// request's Token-Count header.
func tokenCount(r *http.Request) (prompt, answer float64) {
	first, second, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	// A missing or invalid count is zero, so such a request uses no memory.
	prompt, _ = strconv.ParseFloat(first, 64)
	answer, _ = strconv.ParseFloat(second, 64)
	return prompt, answer
}
