// Package sizing estimates the capacity of a fleet of engines for operators: how many requests
// a second each data centre can serve, what the crash of one engine costs, and which kind of
// accelerator to add next.
//
// The estimates are the forecasts of package placement, which also plans the layers of running
// fleets. A fleet file is an INI file:
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
