package main

import (
	"context"

	"github.com/hoistjunction/hoistjunction/wire"
)

type routeCommand struct {
	Put    *routePut    `arg:"subcommand:put" help:"create or change a route"`
	List   *routeList   `arg:"subcommand:list"`
	Delete *routeDelete `arg:"subcommand:delete"`
}

type routePut struct {
	proposal
	Name       string `arg:"positional,required"`
	Pipeline   string `arg:"--pipeline" help:"pipeline that serves the route"`
	Service    string `arg:"--service" help:"pool of plain service upstreams that serves the route"`
	FirstToken uint32 `arg:"--first-token-ms,required" help:"bound on the time to the first token, or to the response of a plain call, in ms"`
	Token      uint32 `arg:"--token-ms" help:"bound on the time between tokens, in ms"`
	MaxTokens  uint32 `arg:"--max-tokens" help:"maximum number of tokens per request"`
}

func (c *routePut) run(ctx context.Context, s *session) error {
	return c.propose(ctx, s, &wire.Change{Edit: &wire.Change_PutRoute{PutRoute: &wire.Route{
		Name: c.Name, Pipeline: c.Pipeline, Service: c.Service,
		FirstTokenMs: c.FirstToken, TokenMs: c.Token, MaxTokens: c.MaxTokens,
	}}})
}

type routeList struct{}

func (c *routeList) run(ctx context.Context, s *session) error {
	config, err := s.config(ctx, 0)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, r := range config.GetRoutes() {
		rows = append(rows, cells(r.GetName(), r.GetPipeline()+r.GetService(), r.GetFirstTokenMs(), r.GetTokenMs(), r.GetMaxTokens()))
	}
	return s.out.show(&wire.Config{Routes: config.GetRoutes()}, "ROUTE SERVED-BY FIRST-MS TOKEN-MS MAX-TOKENS", rows)
}

type routeDelete struct {
	proposal
	Name string `arg:"positional,required"`
}

func (c *routeDelete) run(ctx context.Context, s *session) error {
	return c.propose(ctx, s, &wire.Change{Edit: &wire.Change_DeleteRoute{DeleteRoute: c.Name}})
}
