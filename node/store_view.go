package node

import "github.com/hoistjunction/hoistjunction/clock"

// storeView is the node's view of the store, for the metrics. Ages are in ms; -1 means that
// there has been no answer yet.
type storeView struct {
	// AsOf is the moment up to which the list was read, as ERA:REVISION; From is the node that
	// supplied the list, empty for the store itself.
	AsOf string `json:"as_of"`
	From string `json:"from"`
	// AnsweredMS is how long ago the store last answered this node or the followed node.
	AnsweredMS int64 `json:"answered_ms"`
	// Config is the active version, Written is when the store received it, and ConfirmedMS is
	// how long ago it was last confirmed as the newest.
	Config      string `json:"config"`
	Written     string `json:"written"`
	ConfirmedMS int64  `json:"confirmed_ms"`
	// Eras holds the newest era in the store's answers, the observed store restores, and the
	// rejected answers of unknown order.
	Eras any `json:"eras"`
}

func (n *Node) storeView() any {
	now, active := n.clock.Now(), n.local.Config()
	return storeView{
		AsOf: n.fleetFollower.AsOf().String(), From: n.readers.sourceName(),
		AnsweredMS: int64(clock.AgeOf(n.readLog.AnsweredAt(), now)),
		Config:     active.Edition.String(), Written: active.Edition.Written().String(),
		ConfirmedMS: int64(clock.AgeOf(active.Confirmed, now)), Eras: n.store.Eras(),
	}
}
