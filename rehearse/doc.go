// Package rehearse plays a scenario of hoistlab in real time: the built programs as processes of
// their own, under the scenario's load and troubles, judged by what callers got.
//
// Nodes run with all the settings that the deployment's template gives them, each at a loopback
// address of its own. The stand-ins of the store and of all upstreams are two processes more
// (cmd/standin-deployment). Callers are an open loop in this process: they ask at the scenario's
// rates whatever becomes of what they asked before.
//
//	report, err := rehearse.Run(ctx, scenario, rehearse.WithSeed(7))
//	fmt.Println(report.Verdict())
//
// Arrivals, sizes and who is harmed come from the seed; the processes' own timing does not.
package rehearse
