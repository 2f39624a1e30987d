package limits

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/sardinehead/sardinehead/internal/core/limit"
)

const (
	// requestOverhead is the size in bytes of the HTTP/1.1, TCP and IP headers of
	// a twirp request, including authentication.
	requestOverhead = 380
	// responseOverhead is the size in bytes of the headers of a response.
	responseOverhead = 220
	// tagSize is the encoded size in bytes of a protobuf field tag.
	tagSize = 1
	// fixedSize is the encoded size in bytes of a fixed64 field with its tag.
	fixedSize = tagSize + 8
)

// traffic counts the messages of loans and their bytes as protobuf over
// HTTP/1.1.
type traffic struct {
	messages int
	bytes    int
}

func (t *traffic) add(body, overhead int) {
	t.messages++
	t.bytes += body + overhead
}

// varintSize returns the encoded size of a varint field with its tag.
func varintSize(v uint64) int {
	return tagSize + protowire.SizeVarint(v)
}

// bytesSize returns the encoded size of a length-delimited field with its tag.
func bytesSize(body int) int {
	return tagSize + protowire.SizeBytes(body)
}

// packedSize returns the encoded size of a packed field of varints, and 0 for a
// field without elements.
func packedSize[N ~uint64 | ~int](values []N) int {
	body := 0
	for _, v := range values {
		body += protowire.SizeVarint(uint64(v))
	}
	if body == 0 {
		return 0
	}
	return bytesSize(body)
}

func accountSize(a limit.Account) int {
	return varintSize(uint64(a.Kind)) + bytesSize(len(a.Name))
}

func (t *traffic) addRequest(request limit.LoanRequest) {
	size := 2*fixedSize + varintSize(request.Seq) + varintSize(uint64(request.RunLimit.Milliseconds())) + packedSize(request.Renew)
	for _, item := range request.Items {
		size += bytesSize(accountSize(item.Account) + varintSize(uint64(item.Slots)))
	}
	t.add(size, requestOverhead)
}

func (t *traffic) addReply(reply limit.LoanReply) {
	size := fixedSize + varintSize(reply.Seq) + packedSize(reply.Refused) + packedSize(reply.Surplus)
	for _, g := range reply.Grants {
		size += bytesSize(varintSize(uint64(g.ID)) + accountSize(g.Account) + varintSize(uint64(g.Slots)))
	}
	t.add(size, responseOverhead)
}

func (t *traffic) addReturn(r limit.LoanReturn) {
	size := 2 * fixedSize
	for _, item := range r.Items {
		size += bytesSize(varintSize(uint64(item.ID)) + varintSize(uint64(item.Keep)))
	}
	t.add(size, requestOverhead)
	t.add(0, responseOverhead)
}
