package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// engineOrder is an order in any of its forms.
type engineOrder struct {
	Op    string   `json:"op"`
	From  *float64 `json:"from"`
	To    *float64 `json:"targetVersion"`
	Mode  string   `json:"how"`
	Fence *float64 `json:"fence"`
	ID    string   `json:"id"`
	Chain string   `json:"path"`
	// Expected is how many orders the engine must have taken; nil for any number.
	Expected *float64 `json:"expectedRevision"`
}

// readOrder refuses what the pages do not describe: other fields, and numbers in quotes.
func readOrder(body io.Reader) (engineOrder, error) {
	var o engineOrder
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&o); err != nil {
		return o, errors.Mark(err, ErrInvalidRequest)
	}
	place := o.Op == "place" && o.From != nil && o.To != nil && (o.Mode == "wait" || o.Mode == "cut") && o.ID == "" && o.Chain == ""
	repath := o.Op == "repath" && o.ID != "" && o.Chain != "" && o.From == nil && o.To == nil && o.Mode == ""
	if !place && !repath {
		return o, errors.Wrapf(ErrInvalidRequest, "order %q", o.Op)
	}
	return o, nil
}

// CheckOrder refuses an order that engines refuse.
func CheckOrder(body []byte) error {
	_, err := readOrder(bytes.NewReader(body))
	return err
}

func (e *ChainEngine) handleOrder(w http.ResponseWriter, r *http.Request) {
	if !e.acceptInstance(w, r) {
		return
	}
	o, err := readOrder(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Op == "repath":
		e.migrateStream(w, o)
	case e.loading || o.Expected != nil && *o.Expected != float64(e.ordersTaken):
		w.WriteHeader(http.StatusConflict)
	default:
		e.ordersTaken++
		e.loading = true
		e.heldLayers = fleet.LayerRange{}
		time.AfterFunc(e.model.loadDuration(int(*o.To)-int(*o.From)), func() { e.finishLoad(fleet.LayerRange{From: int(*o.From), To: int(*o.To)}) })
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *ChainEngine) finishLoad(r fleet.LayerRange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heldLayers, e.loading = r, false
}

func (e *ChainEngine) migrateStream(w http.ResponseWriter, o engineOrder) {
	s, ok := e.streams[o.ID]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.stages, s.stalledAt = parseChain(o.Chain), ""
	w.WriteHeader(http.StatusAccepted)
}
