package dispatch

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// admittance is the decision that a request may be executed: by which configuration, and when. The
// account that the key belonged to then is the request's. It is settled with the first attempt
// that may have reached an upstream: what comes after, another attempt, a stream that goes on elsewhere or
// a wait, belongs to a request that was sent while its key was valid. docs/design/admittance.md says
// which moment counts for what else a configuration decides.
type admittance struct {
	settled bool
	edition catalog.Edition
	at      clock.Millis
}

// takeAdmittance records that another node has admitted a request for a client account.
func (m *Model) takeAdmittance(r *request, account string) {
	r.account = m.catalog.AccountNamed(account)
	r.admittance = admittance{settled: true, edition: m.catalog.Edition(), at: m.now}
}

// admit records that an attempt of a request was let through.
func (m *Model) admit(r *request) {
	if !r.admittance.settled {
		r.admittance = admittance{settled: true, edition: r.decidedBy, at: m.now}
	}
}
