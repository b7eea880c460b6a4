// Package admission decides which new requests of a service are held back while its engines are
// nearly full, so that a more urgent kind of request is never served worse than a less urgent one.
//
// It addresses one load pattern: callers of several priorities compete for engines whose capacity
// is insufficient for all of them. Priorities in the queues of engines do not help there, because
// streams of less urgent requests that have begun keep the memory that more urgent ones need.
//
// A Load describes the engines of a service and what all nodes use of them. Its use is that of the
// scarcest layer. The pressure of the service follows the use from 0 up to 1. Each node computes it from the usage reports that all nodes share, so that all nodes arrive at
// about the same value. The reports are 0.3 to 0.6 s old. Three measures keep admission from
// oscillating because of that age:
//
//   - The pressure is smoothed: it rises and falls gradually, at a rate that follows from the use
//     that the present rate of new streams leads to.
//   - Each priority but the most urgent one has a band of thresholds instead of a single one. The
//     draw of a request selects a threshold in the band of its priority. The share of requests
//     that is held back thus rises gradually with the pressure.
//   - All thresholds have the same hysteresis: a threshold that was reached stays in force until
//     the pressure has fallen below it by that amount.
//
// A Controller holds this state for the services of one node. It holds nothing back without recent
// reports of other nodes. It performs no I/O and receives the time as an argument.
//
//	c := admission.New()
//	c.SetPriorities(map[string][]int{"writer": {0, 2}})
//	c.Observe(now, "writer", load)
//	if d := c.Admit(now, "writer", 2, draw); !d.Admitted {
//	}
package admission
