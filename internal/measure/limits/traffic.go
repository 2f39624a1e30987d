package limits

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/sardinehead/sardinehead/internal/core/limit"
)

const (
	// requestOverhead is the bytes of HTTP/1.1, TCP and IP headers around one
	// twirp request, its authentication included.
	requestOverhead = 380
	// responseOverhead is the same for one response.
	responseOverhead = 220
	// tagSize is the size of a field's tag.
	tagSize = 1
	// fixedSize is the size of a fixed64 field with its tag.
	fixedSize = tagSize + 8
)

// traffic counts the messages of loans as protobuf over HTTP/1.1.
type traffic struct {
	messages int
	bytes    int
}

func (t *traffic) add(body, overhead int) {
	t.messages++
	t.bytes += body + overhead
}

// varint returns the size of a varint field with its tag.
func varint(v uint64) int {
	return tagSize + protowire.SizeVarint(v)
}

// nested returns the size of a length-delimited field with its tag.
func nested(body int) int {
	return tagSize + protowire.SizeBytes(body)
}

// packed returns the size of a packed field of varints; 0 if it has none.
func packed[N ~uint64 | ~int](values []N) int {
	body := 0
	for _, v := range values {
		body += protowire.SizeVarint(uint64(v))
	}
	if body == 0 {
		return 0
	}
	return nested(body)
}

func accountSize(a limit.Account) int {
	return varint(uint64(a.Kind)) + nested(len(a.Name))
}

func (t *traffic) addAsk(a limit.LoanRequest) {
	size := 2*fixedSize + varint(a.Seq) + varint(uint64(a.RunLimit.Milliseconds())) + packed(a.Renew)
	for _, item := range a.Items {
		size += nested(accountSize(item.Account) + varint(uint64(item.Slots)))
	}
	t.add(size, requestOverhead)
}

func (t *traffic) addAnswer(a limit.LoanReply) {
	size := fixedSize + varint(a.Seq) + packed(a.Refused) + packed(a.Surplus)
	for _, g := range a.Grants {
		size += nested(varint(uint64(g.ID)) + accountSize(g.Account) + varint(uint64(g.Slots)))
	}
	t.add(size, responseOverhead)
}

func (t *traffic) addReturn(r limit.LoanReturn) {
	size := 2 * fixedSize
	for _, item := range r.Items {
		size += nested(varint(uint64(item.ID)) + varint(uint64(item.Keep)))
	}
	t.add(size, requestOverhead)
	t.add(0, responseOverhead)
}
