// Package sizing tells an operator what a fleet of engines bears: how many requests
// a second each data centre, what the loss of one engine costs, and which kind of
// accelerator to add next.
//
// It asks the planner that places layers on the users' platform, so what it says is
// what that planner expects. A fleet is an INI file:
//
//	[model]
//	layers = 80
//	layer_mb = 1750
//	...
//	[accelerators]
//	large = 72000 2.4 3.2
//	[engines]
//	north = large:2 small:4
package sizing
