package tasks

import (
	"testing"
	"time"
)

// TestProductBeatsBaselines: on a small fleet the decisions keep the stated
// wait of urgent work, waste less than without setting workers aside, use more
// than by declared sizes, and come closer to the shares than first come first
// served.
func TestProductBeatsBaselines(t *testing.T) {
	r := Run(1, Options{Workers: 32, Length: 5 * time.Minute, AppendInterval: 200 * time.Millisecond})
	t.Log("\n" + r.String())
	byPolicy := map[Policy]Result{}
	for _, x := range r.Results {
		byPolicy[x.Policy] = x
	}
	product := byPolicy[Product]
	if product.UrgentP99 > 5800*time.Millisecond {
		t.Errorf("urgent p99 %s, stated 5.8s", product.UrgentP99)
	}
	if product.Use <= byPolicy[NoLearning].Use || product.Wasted >= byPolicy[NoSettingAside].Wasted {
		t.Error("no better than without learning, or without setting aside")
	}
	if product.Distance >= byPolicy[FirstCome].Distance {
		t.Error("no closer to the shares than first come first served")
	}
}

// BenchmarkDesignSize prints the measurement at 1,600 workers.
func BenchmarkDesignSize(b *testing.B) {
	for range b.N {
		b.Log("\n" + Run(1, Options{Workers: 1600, Length: 4 * time.Minute, AppendInterval: 200 * time.Millisecond}).String())
	}
}
