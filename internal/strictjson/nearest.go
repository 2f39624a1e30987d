package strictjson

import (
	"fmt"
	"strings"

	"github.com/agnivade/levenshtein"
)

// maxListed is the number of names above which OneOf does not list them all.
const maxListed = 8

// Nearest returns the candidate with the least edit distance to name, if it is
// near enough to be a misspelling. Of equally near ones the first wins.
func Nearest(name string, candidates []string) (string, bool) {
	best, bestDistance := "", 1+max(2, len(name)/3)
	for _, candidate := range candidates {
		distance := levenshtein.ComputeDistance(strings.ToLower(name), strings.ToLower(candidate))
		if distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best, best != ""
}

// OneOf proposes what to write for a name that is not among the candidates:
// the nearest one, or all of them if none is near and they are few.
func OneOf(name string, candidates []string) string {
	if nearest, ok := Nearest(name, candidates); ok {
		return fmt.Sprintf("%q", nearest)
	}
	if len(candidates) == 0 {
		return "nothing here, as none is declared"
	}
	if len(candidates) > maxListed {
		return fmt.Sprintf("one of the %d declared names", len(candidates))
	}
	quoted := make([]string, len(candidates))
	for i, candidate := range candidates {
		quoted[i] = fmt.Sprintf("%q", candidate)
	}
	return "one of " + strings.Join(quoted, ", ")
}
