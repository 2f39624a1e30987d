// Package record defines what the system appends to the platform's log: one
// typed body per kind, inside an envelope that carries a unique ID. A reader
// folds the records of a stream in the order of their offsets and folds each
// record ID once.
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

// Envelope is a record as it is appended and read.
type Envelope struct {
	ID   vocab.RecordID  `json:"id"`
	Kind Kind            `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// Sequenced is an envelope with its position in the stream.
type Sequenced struct {
	Offset   vocab.Offset `json:"offset"`
	Envelope Envelope     `json:"envelope"`
}

// ErrUnknownKind is returned for a kind that this version does not know. A
// reader must stop at such a record: skipping it could change the fold.
var ErrUnknownKind = errors.New("record kind unknown to this version")

// ErrBadBody is returned when a record's body does not decode.
var ErrBadBody = errors.New("record body does not decode")

var decoders = map[Kind]func(json.RawMessage) (Body, error){}

// register makes a body type known to Decode. Each file of this package that
// defines bodies calls it from its init function.
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

// Encode puts a body into an envelope.
func Encode(id vocab.RecordID, body Body) (Envelope, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, errors.Wrapf(err, "encoding record %s", body.RecordKind())
	}
	return Envelope{ID: id, Kind: body.RecordKind(), Body: raw}, nil
}

// Decode returns the typed body. It fails with ErrUnknownKind or ErrBadBody.
func Decode(e Envelope) (Body, error) {
	dec, ok := decoders[e.Kind]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownKind, "kind %q of record %s", e.Kind, e.ID)
	}
	return dec(e.Body)
}
