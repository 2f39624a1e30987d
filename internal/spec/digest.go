package spec

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of the configuration as 16 hexadecimal digits. Equal
// configurations have equal digests, whatever the order of their slices and
// the paths of their files.
func (f *Fleet) Digest() string {
	canonical := f.Normalized()
	for i := range canonical.Services {
		canonical.Services[i].File = ""
	}
	data, err := json.Marshal(canonical)
	if err != nil {
		// No type of this package can fail to encode.
		panic(err)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(data))
}
