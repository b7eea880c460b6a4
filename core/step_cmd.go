package core

import "github.com/hoistjunction/hoistjunction/clock"

// StepCmd sends a step to an engine that serves a stage.
type StepCmd struct {
	Upstream   string   `json:"upstream"`
	Address    string   `json:"address"`
	Request    uint64   `json:"request"`
	Generation uint32   `json:"generation"`
	Position   uint32   `json:"position"`
	Prompt     string   `json:"prompt,omitempty"`
	Tokens     []uint32 `json:"tokens,omitempty"`
	Inputs     []uint64 `json:"inputs,omitempty"`
	Priority   int      `json:"priority,omitempty"`
}

// EndCmd ends a generation at an engine, so that the engine frees its cache.
type EndCmd struct {
	Upstream   string `json:"upstream"`
	Address    string `json:"address"`
	Request    uint64 `json:"request"`
	Generation uint32 `json:"generation"`
}

// CallCmd sends a request to a plain service.
type CallCmd struct {
	Request     uint64       `json:"request"`
	Attempt     uint32       `json:"attempt"`
	Upstream    string       `json:"upstream"`
	Address     string       `json:"address"`
	Path        string       `json:"path"`
	Body        []byte       `json:"body,omitempty"`
	ContentType string       `json:"content_type,omitempty"`
	Key         string       `json:"key,omitempty"`
	NoRepeat    bool         `json:"no_repeat,omitempty"`
	Timeout     clock.Millis `json:"timeout"`
}
