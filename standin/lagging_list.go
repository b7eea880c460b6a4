package standin

import (
	"time"

	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/tablestore"
)

// laggingList is a list of VMs whose changes show late.
type laggingList struct {
	shown   tablestore.VMList
	pending []pendingList
}

type pendingList struct {
	due time.Time
	vms []pool.Listing
}

func (l *laggingList) set(due time.Time, vms []pool.Listing) {
	l.pending = append(l.pending, pendingList{due: due, vms: vms})
}

// at returns the list as it shows at a time.
func (l *laggingList) at(now time.Time) tablestore.VMList {
	for len(l.pending) > 0 && !l.pending[0].due.After(now) {
		l.shown = tablestore.VMList{Version: l.shown.Version + 1, VMs: l.pending[0].vms}
		l.pending = l.pending[1:]
	}
	return l.shown
}
