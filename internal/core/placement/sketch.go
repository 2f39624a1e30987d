package placement

import "math"

const (
	// sketchBuckets is the number of buckets of a sketch.
	sketchBuckets = 512
	// bucketsPerOctave is the number of buckets for a doubling of the value.
	bucketsPerOctave = 8
	// sketchZero is the bucket of the value 1.
	sketchZero = 128
	// sketchGrowth is the factor by which each observation outweighs the one
	// before it: half of the weight is on the last 140 observations.
	sketchGrowth = 1.005
	// sketchRescale is the weight at which a sketch is scaled down.
	sketchRescale = 1e12
)

// sketch is a histogram over logarithmic buckets that favours new values.
type sketch struct {
	counts [sketchBuckets]float64
	total  float64
	weight float64
}

func bucketOf(v float64) int {
	if v <= 0 {
		return 0
	}
	b := sketchZero + int(math.Round(bucketsPerOctave*math.Log2(v)))
	return min(max(b, 0), sketchBuckets-1)
}

// valueOf returns the middle of a bucket.
func valueOf(bucket int) float64 {
	return math.Exp2(float64(bucket-sketchZero) / bucketsPerOctave)
}

func (s *sketch) add(v float64) {
	if s.weight == 0 {
		s.weight = 1
	}
	s.weight *= sketchGrowth
	s.counts[bucketOf(v)] += s.weight
	s.total += s.weight
	if s.weight > sketchRescale {
		s.rescale()
	}
}

func (s *sketch) rescale() {
	for i := range s.counts {
		s.counts[i] /= s.weight
	}
	s.total /= s.weight
	s.weight = 1
}

// quantile returns the bucket below which the part q of the weight lies, with
// a prior value that weighs as much as some observations.
func (s *sketch) quantile(q float64, prior int, priorWeight float64) int {
	extra := priorWeight * max(s.weight, 1)
	target := q * (s.total + extra)
	sum := 0.0
	for b, c := range s.counts {
		sum += c
		if b == prior {
			sum += extra
		}
		if sum >= target {
			return b
		}
	}
	return sketchBuckets - 1
}

// spread returns the buckets between the 10th and the 90th percentile.
func (s *sketch) spread() int {
	return s.quantile(0.9, 0, 0) - s.quantile(0.1, 0, 0)
}
