package placement

import "math"

const (
	// sketchBuckets is the number of buckets of a sketch.
	sketchBuckets = 512
	// bucketsPerOctave is the number of buckets per doubling of the value.
	bucketsPerOctave = 8
	// unitBucket is the bucket of the value 1.
	unitBucket = 128
	// weightGrowth is the ratio of an observation's weight to that of the previous
	// one. Half of the total weight is on the last 140 observations.
	weightGrowth = 1.005
	// maxWeight is the weight above which all weights of a sketch are scaled down.
	maxWeight = 1e12
)

// sketch is a histogram with logarithmic buckets in which recent values weigh more.
type sketch struct {
	counts [sketchBuckets]float64
	total  float64
	// weight is that of the latest value.
	weight float64
}

func bucketOf(v float64) int {
	if v <= 0 {
		return 0
	}
	b := unitBucket + int(math.Round(bucketsPerOctave*math.Log2(v)))
	return min(max(b, 0), sketchBuckets-1)
}

// valueOf returns the (geometric) middle of a bucket.
func valueOf(bucket int) float64 {
	return math.Exp2(float64(bucket-unitBucket) / bucketsPerOctave)
}

func (s *sketch) add(v float64) {
	if s.weight == 0 {
		s.weight = 1
	}
	s.weight *= weightGrowth
	s.counts[bucketOf(v)] += s.weight
	s.total += s.weight
	if s.weight > maxWeight {
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

// quantile returns the bucket of the q-quantile. The bucket prior gets additional
// weight, equal to that of priorWeight observations made now.
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

// spread returns the number of buckets between the 10th and the 90th percentile.
func (s *sketch) spread() int {
	return s.quantile(0.9, 0, 0) - s.quantile(0.1, 0, 0)
}
