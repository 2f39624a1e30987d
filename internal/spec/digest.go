package spec

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of the configuration as 16 hexadecimal digits. Equal
// configurations have equal digests; the order of their slices and the paths of
// their files don't count.
func (f *Fleet) Digest() string {
	canonical := f.Normalized()
	for i := range canonical.Services {
		canonical.Services[i].File = ""
	}
	data, err := json.Marshal(canonical)
	if err != nil {
		// Encoding cannot fail for the types of this package.
		panic(err)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(data))
}
