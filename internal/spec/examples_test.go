package spec_test

import (
	"testing"

	"github.com/sardinehead/sardinehead/internal/spec"
)

func TestExamplesLoad(t *testing.T) {
	for _, dir := range []string{"../../examples/duka-jaza", "../../examples/refugio"} {
		fleet, err := spec.Load(dir)
		if err != nil {
			t.Fatalf("%s: %+v", dir, err)
		}
		if len(fleet.Services) != 5 || len(fleet.Teams) != 6 || len(fleet.Pools) != 5 {
			t.Errorf("%s: %d services, %d teams, %d pools", dir, len(fleet.Services), len(fleet.Teams), len(fleet.Pools))
		}
	}
}
