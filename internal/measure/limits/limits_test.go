package limits

import (
	"flag"
	"testing"
)

var full = flag.Bool("full", false, "measure at all sizes")

// With loans all of a limit can be used however the demand is spread, and a
// lost node's part comes back, but not before it is safe.
func TestLoansMakeTheLimitUsable(t *testing.T) {
	r := Run(1, nil)
	for _, u := range r.Uses {
		if u.Lent != u.Bound {
			t.Errorf("%s: %.3f of the limit is usable, demand asks for %.3f", u.Scenario, u.Lent, u.Bound)
		}
	}
	if r.Recovery.Time < r.Recovery.Bound {
		t.Errorf("a lost node's part is used after %v, before %v", r.Recovery.Time, r.Recovery.Bound)
	}
	if r.Recovery.Time > 2*r.Recovery.Bound {
		t.Errorf("a lost node's part is out of use for %v", r.Recovery.Time)
	}
}

// TestReport prints the report; with -full at all sizes.
func TestReport(t *testing.T) {
	sizes := []int{3}
	if *full {
		sizes = Sizes()
	}
	t.Log("\n" + Run(1, sizes).String())
}
