package record_test

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// FuzzDecode checks that decoding a record either fails with ErrUnknownKind or
// ErrBadBody, or returns a body whose encoding does not change when it is decoded
// and encoded once more.
func FuzzDecode(f *testing.F) {
	for _, body := range []record.Body{
		record.ConfigPublished{Base: 7, Operator: "op"},
		record.KeyGiven{Key: "k", Team: "t", SecretHash: []byte{1, 2}},
		record.KeyWithdrawn{Key: "k"},
		record.NodeJoined{Node: "n", Incarnation: 1 << 63, PeerAddress: "10.0.0.1:7002"},
		record.NodeRemoved{Node: "n", Incarnation: 1, Reason: record.RemovalLeft},
		record.SnapshotTaken{Version: 1, Offset: 3, Digest: "0", State: []byte(`{}`)},
		record.DisruptionsStarted{Epoch: 2, Left: []record.VMLeftPool{{VM: "v", From: "a", To: "b"}}},
	} {
		envelope, err := record.Encode("id", body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add("id", string(envelope.Kind), []byte(envelope.Body))
	}
	f.Add("", "no.such.kind", []byte("{}"))
	f.Add("id", "key.given", []byte(`{"secret_hash":"%%"}`))
	f.Add("id", "config.published", []byte(`{"fleet":{"maintenance":{"every":"-1h"}}}`))
	f.Fuzz(func(t *testing.T, id, kind string, raw []byte) {
		body, err := record.Decode(record.Envelope{ID: vocab.RecordID(id), Kind: record.Kind(kind), Body: raw})
		if err != nil {
			if !errors.Is(err, record.ErrUnknownKind) && !errors.Is(err, record.ErrBadBody) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		first, err := record.Encode("id", body)
		if err != nil {
			t.Fatalf("a decoded body does not encode: %v", err)
		}
		again, err := record.Decode(first)
		if err != nil {
			t.Fatalf("an encoded body does not decode: %v", err)
		}
		second, err := record.Encode("id", again)
		if err != nil || !bytes.Equal(first.Body, second.Body) {
			t.Fatalf("%s was encoded again as %s", first.Body, second.Body)
		}
	})
}
