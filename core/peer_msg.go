package core

import "github.com/hoistjunction/hoistjunction/wire"

// HeartbeatCmd tells a peer what this node knows. Its reply comes back as a
// HeartbeatMsg.
type HeartbeatCmd struct {
	Address string                 `json:"address"`
	Beat    *wire.HeartbeatRequest `json:"beat"`
}

// HeartbeatMsg brings what a peer knows, whether it asked or answered.
type HeartbeatMsg struct {
	From    *wire.NodeRecord    `json:"from"`
	Heard   []*wire.NodeRecord  `json:"heard,omitempty"`
	Leaving []*wire.LeavingMark `json:"leaving,omitempty"`
}
