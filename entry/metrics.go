package entry

import (
	"expvar"
	"fmt"
	"net/http"

	"github.com/hoistjunction/hoistjunction/core"
)

// shownPercentiles are what is shown of each histogram, in percent.
var shownPercentiles = []float64{50, 95, 99}

// serveVars answers with every counter and histogram, in expvar's form. The maps
// are this node's own, so that several nodes can run in one process.
func (s *adminServer) serveVars(w http.ResponseWriter, _ *http.Request) {
	node := new(expvar.Map).Init()
	s.loop.query(func(m *core.Model) { addModelVars(node, m) })
	setInt(node, "ring_submissions", uint64(s.loop.submissions.Len()))
	setInt(node, "ring_submissions_shed", s.loop.submissions.Refused())
	setInt(node, "ring_events", uint64(s.loop.events.Len()))
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(w, "{\"hoistjunction\": %s, \"memstats\": %s}\n", node, expvar.Get("memstats"))
}

func addModelVars(node *expvar.Map, m *core.Model) {
	m.Stats().Each(func(name string, value uint64) { setInt(node, name, value) })
	setInt(node, "version", m.Config().GetVersion())
	setInt(node, "in_progress", uint64(m.InProgress()))
	routes := new(expvar.Map).Init()
	m.EachRoute(func(name string, t *core.Latencies) { routes.Set(name, routeVars(t)) })
	node.Set("routes", routes)
}

func routeVars(t *core.Latencies) expvar.Var {
	v := new(expvar.Map).Init()
	for _, q := range shownPercentiles {
		setInt(v, fmt.Sprintf("first_ms_p%.0f", q), uint64(t.FirstToken(q)))
		setInt(v, fmt.Sprintf("gap_ms_p%.0f", q), uint64(t.TokenGap(q)))
	}
	return v
}

func setInt(m *expvar.Map, name string, value uint64) {
	v := new(expvar.Int)
	v.Set(int64(value))
	m.Set(name, v)
}
