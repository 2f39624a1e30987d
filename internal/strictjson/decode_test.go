package strictjson_test

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/strictjson"
)

// FuzzDecode checks against encoding/json that every document Decode accepts
// is accepted by encoding/json too and decodes to the same value.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"pool":"a","teams":["x"],"hold":{"queued":3},"limits":{"run":"1m"},"requests":[{"methods":[]}]}`))
	f.Add([]byte(`{"pool":"a","pool":"b"}`))
	f.Add([]byte(`{"Pool":"a","open":null,"hold":{"queued":1e2}} x`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc := strictjson.Parse("f", data)
		var got spec.Service
		doc.Decode(&got)
		if len(doc.Problems()) > 0 {
			return
		}
		var want spec.Service
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&want); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("accepted %q as %+v; encoding/json: %+v, %v", data, got, want, err)
		}
	})
}
