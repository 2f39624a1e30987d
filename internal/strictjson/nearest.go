package strictjson

import (
	"fmt"
	"strings"

	"github.com/agnivade/levenshtein"
)

// maxListedCandidates is the number of candidates above which Suggest gives only
// their number.
const maxListedCandidates = 8

// Nearest returns the candidate with the smallest edit distance to name, if
// the distance is small enough for a typo: at most 2, or a third of the length
// of name if that is more. Of several with the same distance it returns the first.
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

// Suggest returns the suggestion for a name that is not among the candidates:
// the candidate it is probably a typo of, or else all candidates if there are
// at most maxListedCandidates, or else their number.
func Suggest(name string, candidates []string) string {
	if nearest, ok := Nearest(name, candidates); ok {
		return fmt.Sprintf("%q", nearest)
	}
	if len(candidates) == 0 {
		return "nothing here, as none is declared"
	}
	if len(candidates) > maxListedCandidates {
		return fmt.Sprintf("one of the %d declared names", len(candidates))
	}
	quoted := make([]string, len(candidates))
	for i, candidate := range candidates {
		quoted[i] = fmt.Sprintf("%q", candidate)
	}
	return "one of " + strings.Join(quoted, ", ")
}
