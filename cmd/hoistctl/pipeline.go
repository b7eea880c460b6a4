package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/wire"
)

type pipelineCommand struct {
	Put    *pipelinePut    `arg:"subcommand:put" help:"create or change a pipeline"`
	List   *pipelineList   `arg:"subcommand:list"`
	Delete *pipelineDelete `arg:"subcommand:delete"`
}

type pipelinePut struct {
	proposal
	Name   string   `arg:"positional,required"`
	Model  string   `arg:"--model,required"`
	Layers uint32   `arg:"--layers,required" help:"number of layers of the model"`
	Stages []string `arg:"--stage,required,separate" help:"a stage as pool:first-last, in order"`
}

func (c *pipelinePut) run(ctx context.Context, s *session) error {
	p := &wire.Pipeline{Name: c.Name, Model: c.Model, Layers: c.Layers}
	for _, text := range c.Stages {
		stage, err := parseStage(text)
		if err != nil {
			return err
		}
		p.Stages = append(p.Stages, stage)
	}
	return c.propose(ctx, s, &wire.Change{Edit: &wire.Change_PutPipeline{PutPipeline: p}})
}

// parseStage parses a stage in the form pool:first-last, such as low:0-3.
func parseStage(text string) (*wire.Stage, error) {
	pool, layers, _ := strings.Cut(text, ":")
	first, last, _ := strings.Cut(layers, "-")
	f, errFirst := strconv.ParseUint(first, 10, 32)
	l, errLast := strconv.ParseUint(last, 10, 32)
	if pool == "" || errFirst != nil || errLast != nil {
		return nil, errors.Wrapf(errInvalid, "stage %q; write it like low:0-3", text)
	}
	return &wire.Stage{Pool: pool, FirstLayer: uint32(f), LastLayer: uint32(l)}, nil
}

type pipelineList struct{}

func (c *pipelineList) run(ctx context.Context, s *session) error {
	config, err := s.config(ctx, 0)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, p := range config.GetPipelines() {
		var stages []string
		for _, st := range p.GetStages() {
			stages = append(stages, fmt.Sprintf("%s:%d-%d", st.GetPool(), st.GetFirstLayer(), st.GetLastLayer()))
		}
		rows = append(rows, cells(p.GetName(), p.GetModel(), p.GetLayers(), strings.Join(stages, " ")))
	}
	return s.out.show(&wire.Config{Pipelines: config.GetPipelines()}, "PIPELINE MODEL LAYERS STAGES", rows)
}

type pipelineDelete struct {
	proposal
	Name string `arg:"positional,required"`
}

func (c *pipelineDelete) run(ctx context.Context, s *session) error {
	return c.propose(ctx, s, &wire.Change{Edit: &wire.Change_DeletePipeline{DeletePipeline: c.Name}})
}
