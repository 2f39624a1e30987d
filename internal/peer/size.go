package peer

import (
	"google.golang.org/protobuf/proto"

	"github.com/sardinehead/sardinehead/internal/core/gossip"
)

// GossipBytes returns the size of the encoded gossip message in bytes, without
// HTTP headers.
func GossipBytes(m gossip.Message) int {
	return proto.Size(encodeGossip(m))
}
