package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// engineOrder is an order in any of its forms.
type engineOrder struct {
	Op       string  `json:"op"`
	From     float64 `json:"from"`
	To       float64 `json:"targetVersion"`
	ID       string  `json:"id"`
	Path     string  `json:"path"`
	Expected any     `json:"expectedRevision"`
}

func (e *ChainEngine) order(w http.ResponseWriter, r *http.Request) {
	if !e.meant(w, r) {
		return
	}
	var o engineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Op == "repath":
		e.repath(w, o)
	case e.loading || o.Expected != nil && fmt.Sprint(o.Expected) != strconv.FormatUint(e.orders, 10):
		w.WriteHeader(http.StatusConflict)
	default:
		e.orders++
		e.loading = true
		e.held = fleet.Range{}
		time.AfterFunc(loadTime, func() { e.loaded(fleet.Range{From: int(o.From), To: int(o.To)}) })
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *ChainEngine) loaded(r fleet.Range) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held, e.loading = r, false
}

func (e *ChainEngine) repath(w http.ResponseWriter, o engineOrder) {
	s, ok := e.streams[o.ID]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.parts, s.stalledAt = parseParts(o.Path), ""
	w.WriteHeader(http.StatusAccepted)
}
