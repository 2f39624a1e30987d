package jobpeer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sardinehead/sardinehead/internal/jobpeer/jobpeerpb"
)

// FuzzDecodeCall: a call of another node is decoded or refused.
func FuzzDecodeCall(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x08\x63"))
	f.Add([]byte("\x08\x00\x12\x01x2\x02{}"))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var call jobpeerpb.Call
		if proto.Unmarshal(raw, &call) != nil {
			return
		}
		request, err := decodeCall(&call)
		if err == nil {
			request.Event(1)
		}
	})
}
