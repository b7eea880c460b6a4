package core

import "github.com/hoistjunction/hoistjunction/wire"

// HeartbeatCmd sends a heartbeat with this node's view of the cluster to a peer. The reply is
// returned as a HeartbeatMsg.
type HeartbeatCmd struct {
	Address string                 `json:"address"`
	Beat    *wire.HeartbeatRequest `json:"beat"`
}

// HeartbeatMsg carries a peer's view of the cluster, from its own heartbeat or from its reply to
// one.
type HeartbeatMsg struct {
	From    *wire.NodeRecord    `json:"from"`
	Heard   []*wire.NodeRecord  `json:"heard,omitempty"`
	Leaving []*wire.LeavingMark `json:"leaving,omitempty"`
}
