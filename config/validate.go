package config

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/fairqueue"
	"github.com/hoistjunction/hoistjunction/wire"
)

// MaxWeight bounds the weight of a client account, so that the share of an
// account cannot round to zero beside a much larger weight.
const MaxWeight = 1000

// Validate checks that a node can serve a configuration. The error wraps
// ErrInvalid, names the faulty item and states how to correct it.
func Validate(c *wire.Config) error {
	pipelines := make(map[string]bool, len(c.GetPipelines()))
	for _, p := range c.GetPipelines() {
		if err := validatePipeline(p); err != nil {
			return err
		}
		pipelines[p.GetName()] = true
	}
	for _, r := range c.GetRoutes() {
		if err := validateRoute(r, pipelines); err != nil {
			return err
		}
	}
	for _, a := range c.GetAccounts() {
		if err := validateAccount(a); err != nil {
			return err
		}
	}
	return nil
}

// validatePipeline checks that the stages cover every layer exactly once and in
// order.
func validatePipeline(p *wire.Pipeline) error {
	if p.GetName() == "" {
		return errors.Wrap(ErrInvalid, "a pipeline has no name; give it one")
	}
	if p.GetLayers() == 0 || len(p.GetStages()) == 0 {
		return errors.Wrapf(ErrInvalid, "pipeline %q: needs layers and at least one stage", p.GetName())
	}
	next := uint32(0)
	for i, s := range p.GetStages() {
		if s.GetPool() == "" {
			return errors.Wrapf(ErrInvalid, "pipeline %q stage %d: names no pool", p.GetName(), i)
		}
		if s.GetFirstLayer() != next {
			return errors.Wrapf(ErrInvalid, "pipeline %q stage %d: starts at layer %d, must start at %d",
				p.GetName(), i, s.GetFirstLayer(), next)
		}
		if s.GetLastLayer() < s.GetFirstLayer() {
			return errors.Wrapf(ErrInvalid, "pipeline %q stage %d: ends at layer %d before it starts at %d",
				p.GetName(), i, s.GetLastLayer(), s.GetFirstLayer())
		}
		next = s.GetLastLayer() + 1
	}
	if next != p.GetLayers() {
		return errors.Wrapf(ErrInvalid, "pipeline %q: stages end at layer %d, must end at %d",
			p.GetName(), int(next)-1, p.GetLayers()-1)
	}
	return nil
}

func validateRoute(r *wire.Route, pipelines map[string]bool) error {
	if r.GetName() == "" {
		return errors.Wrap(ErrInvalid, "a route has no name; give it one")
	}
	if (r.GetPipeline() == "") == (r.GetService() == "") {
		return errors.Wrapf(ErrInvalid, "route %q: set one of pipeline and service", r.GetName())
	}
	if r.GetFirstTokenMs() == 0 {
		return errors.Wrapf(ErrInvalid, "route %q: set first_token_ms, the latency bound", r.GetName())
	}
	if r.GetService() != "" {
		return nil
	}
	if !pipelines[r.GetPipeline()] {
		return errors.Wrapf(ErrInvalid, "route %q: no pipeline %q; create it first", r.GetName(), r.GetPipeline())
	}
	if r.GetTokenMs() == 0 || r.GetMaxTokens() == 0 {
		return errors.Wrapf(ErrInvalid, "route %q: set token_ms and max_tokens", r.GetName())
	}
	return nil
}

func validateAccount(a *wire.ClientAccount) error {
	if a.GetName() == "" {
		return errors.Wrap(ErrInvalid, "a client account has no name; give it one")
	}
	if len(a.GetKeyHash()) != sha256.Size {
		return errors.Wrapf(ErrInvalid, "client account %q: key hash must be a SHA-256", a.GetName())
	}
	if a.GetWeight() == 0 || a.GetWeight() > MaxWeight {
		return errors.Wrapf(ErrInvalid, "client account %q: weight must be 1 to %d", a.GetName(), MaxWeight)
	}
	if a.GetPriority() >= fairqueue.Priorities {
		return errors.Wrapf(ErrInvalid, "client account %q: priority must be 0 to %d", a.GetName(), fairqueue.Priorities-1)
	}
	return nil
}
