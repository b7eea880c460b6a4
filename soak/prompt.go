package soak

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// The parts of prompts that requests share: a few begin all prompts of a route, and some are those of a
// group of callers or of a session.
const (
	routeParts   = 2
	groupParts   = 6
	sessionParts = 30
)

// prompt returns the parts of an attempt's prompt, drawn by its id. A part that crashes engines takes the
// place of one of those that other requests share.
func prompt(t attempt) string {
	draw := xxhash.Sum64String(t.id)
	parts := [3]string{
		fmt.Sprintf("a%x", draw%routeParts), fmt.Sprintf("b%x", draw>>8%groupParts), fmt.Sprintf("c%x", draw>>16%sessionParts),
	}
	if t.crashingPart != "" {
		parts[draw>>24%uint64(len(parts))] = t.crashingPart
	}
	return fmt.Sprintf("%s:10,%s:10,%s:10,%x:10", parts[0], parts[1], parts[2], draw)
}
