// Package record defines the records that the system appends to the platform's
// log: a typed body for each kind, in an envelope with a unique ID. Readers fold
// the records of a stream in the order of their offsets, and each record ID only
// once.
package record

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Kind names the type of a record's body.
type Kind string

// Body is the typed content of a record.
type Body interface {
	// RecordKind returns the kind under which the body is registered.
	RecordKind() Kind
}

// Envelope is the encoded form of a record on the log.
type Envelope struct {
	ID   vocab.RecordID  `json:"id"`
	Kind Kind            `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// Sequenced is an envelope with its offset in the stream.
type Sequenced struct {
	Offset   vocab.Offset `json:"offset"`
	Envelope Envelope     `json:"envelope"`
}

// ErrUnknownKind is returned for a record kind that this version does not support.
// A reader must stop at such a record: if it skipped the record, its state could
// differ from that of other nodes.
var ErrUnknownKind = errors.New("record kind unknown to this version")

// ErrBadBody is returned for a record whose body cannot be decoded as the type
// registered for its kind.
var ErrBadBody = errors.New("record body does not decode")

// decoders holds the decode function of each registered kind.
var decoders = map[Kind]func(json.RawMessage) (Body, error){}

// register registers a body type for Decode under the kind that its zero value
// returns. Each file of this package that defines body types calls it in init.
func register[B Body]() {
	var zero B
	decoders[zero.RecordKind()] = decode[B]
}

func decode[B Body](raw json.RawMessage) (Body, error) {
	var body B
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "kind %s", body.RecordKind()), ErrBadBody)
	}
	return body, nil
}

// Encode returns the envelope of a body.
func Encode(id vocab.RecordID, body Body) (Envelope, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, errors.Wrapf(err, "encoding record %s", body.RecordKind())
	}
	return Envelope{ID: id, Kind: body.RecordKind(), Body: raw}, nil
}

// Decode returns the body as the type registered for its kind. It fails with
// ErrUnknownKind or ErrBadBody.
func Decode(e Envelope) (Body, error) {
	dec, ok := decoders[e.Kind]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownKind, "kind %q of record %s", e.Kind, e.ID)
	}
	return dec(e.Body)
}
