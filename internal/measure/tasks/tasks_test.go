package tasks

import (
	"testing"
	"time"
)

// TestProductBeatsBaselines checks on a small fleet that the product keeps the
// bound on the wait of urgent tasks, wastes less work than without quarantine,
// has a higher utilization than placement by declared sizes, and comes closer
// to the shares than first come first served.
func TestProductBeatsBaselines(t *testing.T) {
	r := Run(1, Options{Workers: 32, Length: 5 * time.Minute, AppendInterval: 200 * time.Millisecond})
	t.Log("\n" + r.String())
	byPolicy := map[Policy]Result{}
	for _, x := range r.Results {
		byPolicy[x.Policy] = x
	}
	product := byPolicy[Product]
	if product.UrgentP99 > 5800*time.Millisecond {
		t.Errorf("urgent p99 %s, the bound is 5.8s", product.UrgentP99)
	}
	if product.Utilization <= byPolicy[NoLearning].Utilization || product.Wasted >= byPolicy[NoQuarantine].Wasted {
		t.Error("utilization no higher than without learning, or no less waste than without quarantine")
	}
	if product.ShareDistance >= byPolicy[FirstCome].ShareDistance {
		t.Error("no closer to the shares than first come first served")
	}
}

// BenchmarkDesignSize prints the measurement at 1,600 workers.
func BenchmarkDesignSize(b *testing.B) {
	for range b.N {
		b.Log("\n" + Run(1, Options{Workers: 1600, Length: 4 * time.Minute, AppendInterval: 200 * time.Millisecond}).String())
	}
}
