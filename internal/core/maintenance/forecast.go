package maintenance

import "time"

const (
	// bucketTime is the part of a day over which demand is averaged for forecasts.
	bucketTime = 30 * time.Minute
	// bucketsPerDay is the number of such parts.
	bucketsPerDay = int(24 * time.Hour / bucketTime)
	// forecastSoon is how far ahead VMs are fetched.
	forecastSoon = 20 * time.Minute
	// forecastLater is how far ahead VMs are kept. Holding a VM for longer would
	// cost more than to move it away and back.
	forecastLater = 100 * time.Minute
	// newestDay is the weight of the newest day in the average of a bucket.
	newestDay = 0.5
)

// profile is the demand on a pool by time of day, in slots, as seen so far.
type profile struct {
	average [bucketsPerDay]float64
	known   [bucketsPerDay]bool

	bucket int     // the one being measured
	sum    float64 // slot-seconds in it
	time   float64 // seconds in it
}

// observe takes in the demand of the last dt.
func (p *profile) observe(unix int64, dt time.Duration, slots float64) {
	if b := bucketAt(unix); b != p.bucket {
		p.close()
		p.bucket = b
	}
	p.sum += slots * dt.Seconds()
	p.time += dt.Seconds()
}

// close takes the measured bucket into the average if most of it was seen.
func (p *profile) close() {
	if p.time >= bucketTime.Seconds()/2 {
		mean := p.sum / p.time
		if p.known[p.bucket] {
			mean = newestDay*mean + (1-newestDay)*p.average[p.bucket]
		}
		p.average[p.bucket] = mean
		p.known[p.bucket] = true
	}
	p.sum, p.time = 0, 0
}

// most returns the highest known average of the buckets that begin within ahead
// from now, the one under way left out; 0 if none is known.
func (p *profile) most(unix int64, ahead time.Duration) float64 {
	most := 0.0
	for b := bucketAt(unix) + 1; b <= bucketAt(unix)+bucketsIn(unix, ahead); b++ {
		if i := b % bucketsPerDay; p.known[i] {
			most = max(most, p.average[i])
		}
	}
	return most
}

func bucketAt(unix int64) int {
	return int(unix/int64(bucketTime/time.Second)) % bucketsPerDay
}

// bucketsIn returns how many buckets begin within ahead from now.
func bucketsIn(unix int64, ahead time.Duration) int {
	size := int64(bucketTime / time.Second)
	return int((unix%size + int64(ahead/time.Second)) / size)
}
