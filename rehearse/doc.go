// Package rehearse runs a scenario of hoistlab in real time: it starts the built programs as
// separate processes, applies the scenario's load and faults, and checks the product's
// guarantees against the responses that callers receive.
//
// Each node runs at its own loopback address with settings from the deployment's template. Two
// more processes (cmd/standin-deployment) are stand-ins for the store and for all upstreams.
// The callers run in this process as an open loop: they send requests at the scenario's rates,
// whatever the outcome of earlier requests.
//
//	report, err := rehearse.Run(ctx, scenario, rehearse.WithSeed(7))
//	fmt.Println(report.Verdict())
//
// Arrival times, request sizes and the targets of faults derive from the seed; the timing of
// the processes does not.
package rehearse
