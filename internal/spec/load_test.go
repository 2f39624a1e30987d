package spec_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/sardinehead/sardinehead/internal/spec"
)

func TestExamplesAreCleanAndDigestIgnoresOrder(t *testing.T) {
	for _, dir := range []string{"../../examples/duka-jaza", "../../examples/refugio"} {
		fleet, err := spec.Load(dir)
		if err != nil {
			t.Fatalf("%s: %+v", dir, err)
		}
		if len(fleet.Services) != 5 || len(fleet.Teams) != 6 || len(fleet.Pools) != 5 {
			t.Errorf("%s: %d services, %d teams, %d pools", dir, len(fleet.Services), len(fleet.Teams), len(fleet.Pools))
		}
		other := jsonRoundTrip(t, fleet)
		slices.Reverse(other.Teams)
		slices.Reverse(other.Services[0].Teams)
		other.Services[0].File = "elsewhere"
		if other.Digest() != fleet.Digest() || len(spec.Diff(fleet, other)) != 0 {
			t.Errorf("%s: the order of slices or a file path changed the digest or the diff", dir)
		}
		other.Teams[0].Share++
		if other.Digest() == fleet.Digest() || len(spec.Diff(fleet, other)) != 1 {
			t.Errorf("%s: a changed share is missing from the digest or the diff", dir)
		}
	}
}

// jsonRoundTrip encodes a fleet to JSON and decodes it again.
func jsonRoundTrip(t testing.TB, fleet spec.Fleet) spec.Fleet {
	data, err := json.Marshal(fleet)
	if err != nil {
		t.Fatal(err)
	}
	var out spec.Fleet
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// FuzzCheck checks that any two files give either complete problems or a fleet
// that satisfies the invariants of a checked configuration.
func FuzzCheck(f *testing.F) {
	tree := generateTree(1, 1)
	f.Add(tree["fleet.json"].Data, tree["s0/sardinehead.json"].Data)
	f.Add([]byte(`{"fleet":1,"teams":[null],"pools":[{"vms":-1,"zones":["a"]}]}`), []byte(`{"keep":{"ready":9}}`))
	f.Add([]byte("\xef\xbb\xbf{}"), []byte(`[[`))
	f.Fuzz(func(t *testing.T, fleetFile, serviceFile []byte) {
		fleet, problems, err := spec.Check(fstest.MapFS{
			"fleet.json":          &fstest.MapFile{Data: fleetFile},
			"s0/sardinehead.json": &fstest.MapFile{Data: serviceFile},
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range problems {
			if p.Line < 1 || p.Column < 1 || p.Message == "" || p.Suggestion == "" {
				t.Errorf("incomplete problem %+v", p)
			}
		}
		if problems.Err() == nil {
			checkInvariants(t, fleet)
		}
	})
}

// checkInvariants checks that the service has a pool with enough VMs for its
// budget and a run limit within bounds, and that a JSON round trip keeps the digest.
func checkInvariants(t *testing.T, fleet spec.Fleet) {
	service := fleet.Services[0]
	pool, ok := fleet.Pool(service.Pool)
	if !ok || service.Budget.MinReady > pool.VMs || service.TimeLimits.Run <= 0 || service.TimeLimits.Run.D().Minutes() > 15 {
		t.Errorf("accepted %+v over pool %+v", service, pool)
	}
	other := jsonRoundTrip(t, fleet)
	if other.Digest() != fleet.Digest() {
		t.Error("the JSON round trip changed the digest")
	}
}

// generateTree returns the files of a fleet with the given numbers of teams and
// pools, and one service for each pool.
func generateTree(teams, pools int) fstest.MapFS {
	tree := fstest.MapFS{}
	var teamRows, poolRows, names []string
	for i := range teams {
		teamRows = append(teamRows, fmt.Sprintf(`{"name":"t%d","share":%d,"upper_limit":40}`, i, 1+i%30))
		names = append(names, fmt.Sprintf(`"t%d"`, i))
	}
	for i := range pools {
		poolRows = append(poolRows, fmt.Sprintf(`{"name":"p%d","vms":22,"slots":8,"zones":["a","b","c"]}`, i))
		service := fmt.Sprintf(`{"service":"s%d","pool":"p%d","teams":[%s],"keep":{"ready":15,"ready_per_zone":3}}`,
			i, i, strings.Join(names, ","))
		tree[fmt.Sprintf("s%d/sardinehead.json", i)] = &fstest.MapFile{Data: []byte(service)}
	}
	fleet := fmt.Sprintf(`{"fleet":"design","regions":[{"name":"r","zones":["a","b","c"]}],"teams":[%s],"pools":[%s]}`,
		strings.Join(teamRows, ",\n"), strings.Join(poolRows, ",\n"))
	tree["fleet.json"] = &fstest.MapFile{Data: []byte(fleet)}
	return tree
}

// BenchmarkLoadDesignSize measures loading 570 teams and 74 services that every
// team may use. For comparison, decode-only decodes the same files with
// encoding/json.
func BenchmarkLoadDesignSize(b *testing.B) {
	const teams, pools = 570, 74
	tree := generateTree(teams, pools)
	b.Run("load", func(b *testing.B) {
		for b.Loop() {
			if _, err := spec.LoadFS(tree); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode-only", func(b *testing.B) {
		for b.Loop() {
			for _, file := range tree {
				var content map[string]any
				if err := json.Unmarshal(file.Data, &content); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
	b.Run("digest", func(b *testing.B) {
		fleet, _ := spec.LoadFS(tree)
		for b.Loop() {
			fleet.Digest()
		}
	})
}
