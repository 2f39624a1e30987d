package spec_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/cockroachdb/datadriven"

	"github.com/sardinehead/sardinehead/internal/spec"
)

// unescapeBytes replaces the escapes that golden files use for bytes that a
// text file cannot contain: a byte order mark and invalid UTF-8.
var unescapeBytes = strings.NewReplacer(`\xef`, "\xef", `\xbb`, "\xbb", `\xbf`, "\xbf", `\xff`, "\xff")

// parseTree returns a copy of base, changed by the "-- path --" sections of the
// input. A section is the new content of the file, or the word "absent" to
// remove the file.
func parseTree(base fstest.MapFS, input string) fstest.MapFS {
	tree := maps.Clone(base)
	for _, section := range strings.Split("\n"+input, "\n-- ")[1:] {
		name, body, _ := strings.Cut(section, " --")
		body = strings.TrimPrefix(body, "\n")
		if body == "absent" {
			delete(tree, name)
			continue
		}
		tree[name] = &fstest.MapFile{Data: []byte(unescapeBytes.Replace(body))}
	}
	return tree
}

// TestGolden runs the commands of the golden files: base sets the tree that the
// following commands change, check prints the problems of a tree, and diff
// prints the changes from base.
func TestGolden(t *testing.T) {
	base := fstest.MapFS{}
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			tree := parseTree(base, td.Input)
			fleet, problems, err := spec.Check(tree)
			if err != nil {
				t.Fatal(err)
			}
			switch td.Cmd {
			case "base":
				base = tree
			case "diff":
				before, _, _ := spec.Check(base)
				var out strings.Builder
				for _, c := range spec.Diff(before, fleet) {
					fmt.Fprintln(&out, c)
				}
				return out.String()
			}
			if len(problems) == 0 {
				return "no problems"
			}
			return problems.Error()
		})
	})
}
