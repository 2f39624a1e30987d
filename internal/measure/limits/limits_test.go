package limits

import (
	"flag"
	"testing"
)

var full = flag.Bool("full", false, "measure at all sizes")

// TestLoansMakeTheLimitUsable checks that loans make the whole limit usable
// however the demand is spread over the nodes, and that the quota of a lost
// node becomes usable again in time, but not while requests of the lost node
// may run.
func TestLoansMakeTheLimitUsable(t *testing.T) {
	r := Run(1, nil)
	for _, u := range r.Uses {
		if u.WithLoans != u.Bound {
			t.Errorf("%s: %.3f of the limit is usable, the demand is %.3f", u.Scenario, u.WithLoans, u.Bound)
		}
	}
	if r.Recovery.Duration < r.Recovery.Bound {
		t.Errorf("the quota of a lost node is usable after %v, earlier than the safe time of %v", r.Recovery.Duration, r.Recovery.Bound)
	}
	if r.Recovery.Duration > 2*r.Recovery.Bound {
		t.Errorf("the quota of a lost node is unavailable for %v", r.Recovery.Duration)
	}
}

// TestReport prints the report, with the costs at all sizes if -full is set.
func TestReport(t *testing.T) {
	sizes := []int{3}
	if *full {
		sizes = Sizes()
	}
	t.Log("\n" + Run(1, sizes).String())
}
