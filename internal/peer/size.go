package peer

import (
	"google.golang.org/protobuf/proto"

	"github.com/sardinehead/sardinehead/internal/core/gossip"
)

// GossipBytes returns the encoded size of gossip, without HTTP around it.
func GossipBytes(m gossip.Message) int {
	return proto.Size(encodeGossip(m))
}
