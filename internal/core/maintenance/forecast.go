package maintenance

import "time"

const (
	// bucketDuration is the part of a day over which demand is averaged for
	// forecasts.
	bucketDuration = 30 * time.Minute
	// bucketsPerDay is the number of buckets in a day.
	bucketsPerDay = int(24 * time.Hour / bucketDuration)
	// acquireHorizon is the time by which VMs are moved in ahead of forecast
	// demand.
	acquireHorizon = 20 * time.Minute
	// retainHorizon is the time for which VMs are kept ahead of forecast
	// demand. Holding a VM for longer would cost more than moving it away and
	// back.
	retainHorizon = 100 * time.Minute
	// newestDayWeight is the weight of the newest day in the average of a
	// bucket.
	newestDayWeight = 0.5
)

// dailyProfile is the average demand on a pool by time of day, in slots.
type dailyProfile struct {
	average [bucketsPerDay]float64
	known   [bucketsPerDay]bool

	current     int     // index of the bucket being measured
	slotSeconds float64 // demand measured in the current bucket
	seconds     float64 // time measured in the current bucket
}

// observe adds a sample of demand that covers the last dt.
func (p *dailyProfile) observe(unix int64, dt time.Duration, slots float64) {
	if b := bucketAt(unix); b != p.current {
		p.closeBucket()
		p.current = b
	}
	p.slotSeconds += slots * dt.Seconds()
	p.seconds += dt.Seconds()
}

// closeBucket adds the current bucket to the average if samples cover at least
// half of it.
func (p *dailyProfile) closeBucket() {
	if p.seconds >= bucketDuration.Seconds()/2 {
		mean := p.slotSeconds / p.seconds
		if p.known[p.current] {
			mean = newestDayWeight*mean + (1-newestDayWeight)*p.average[p.current]
		}
		p.average[p.current] = mean
		p.known[p.current] = true
	}
	p.slotSeconds, p.seconds = 0, 0
}

// peak returns the highest known average of the buckets that begin within ahead
// from now, without the current one; 0 if none is known.
func (p *dailyProfile) peak(unix int64, ahead time.Duration) float64 {
	highest := 0.0
	for b := bucketAt(unix) + 1; b <= bucketAt(unix)+bucketsStartingWithin(unix, ahead); b++ {
		if i := b % bucketsPerDay; p.known[i] {
			highest = max(highest, p.average[i])
		}
	}
	return highest
}

func bucketAt(unix int64) int {
	return int(unix/int64(bucketDuration/time.Second)) % bucketsPerDay
}

// bucketsStartingWithin returns how many buckets begin within ahead from now.
func bucketsStartingWithin(unix int64, ahead time.Duration) int {
	bucketSeconds := int64(bucketDuration / time.Second)
	return int((unix%bucketSeconds + int64(ahead/time.Second)) / bucketSeconds)
}
