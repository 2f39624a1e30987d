package record

import "github.com/sardinehead/sardinehead/internal/vocab"

func init() {
	register[NodeJoined]()
	register[NodeRemoved]()
}

// NodeJoined makes an entry process a member. A member has a quota of every limit.
// The join of a process does not remove an earlier member of the same node; only
// NodeRemoved does.
type NodeJoined struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	Zone        vocab.ZoneID      `json:"zone"`
	Region      vocab.RegionID    `json:"region"`
	// PeerAddress is the IP:port of the node's peer service.
	PeerAddress string `json:"peer_address"`
}

// RecordKind implements Body.
func (NodeJoined) RecordKind() Kind { return "node.joined" }

// RemovalReason is the evidence on which a member was removed.
type RemovalReason string

const (
	// RemovalLeft: the node left by itself after its last request had completed.
	RemovalLeft RemovalReason = "left"
	// RemovalReplaced: a later process of the same node uses its peer address.
	RemovalReplaced RemovalReason = "replaced"
	// RemovalGone: the platform lists the node's VM as gone.
	RemovalGone RemovalReason = "gone"
)

// NodeRemoved removes a member. Unless the reason is RemovalLeft, requests of the
// member may still run on an upstream for as long as the longest run limit.
type NodeRemoved struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	Reason      RemovalReason     `json:"reason"`
}

// RecordKind implements Body.
func (NodeRemoved) RecordKind() Kind { return "node.removed" }
