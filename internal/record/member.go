package record

import "github.com/sardinehead/sardinehead/internal/vocab"

func init() {
	register[NodeJoined]()
	register[NodeRemoved]()
}

// NodeJoined makes one start of an entry process a member. A member has a part
// of every limit. Joining with the name of an earlier member does not remove
// that member; a NodeRemoved does.
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

// RemovalReason tells on what evidence a member was removed.
type RemovalReason string

const (
	// RemovalLeft: the node itself left after its last request had ended.
	RemovalLeft RemovalReason = "left"
	// RemovalReplaced: a later process of the same node holds its peer address.
	RemovalReplaced RemovalReason = "replaced"
	// RemovalGone: the platform lists the node's VM as gone.
	RemovalGone RemovalReason = "gone"
)

// NodeRemoved ends a membership. Unless the reason is RemovalLeft, requests of
// the member may still run upstream for as long as the longest run limit.
type NodeRemoved struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	Reason      RemovalReason     `json:"reason"`
}

// RecordKind implements Body.
func (NodeRemoved) RecordKind() Kind { return "node.removed" }
