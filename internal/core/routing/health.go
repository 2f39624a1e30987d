package routing

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// avoidAfterFailure is how long a VM is out of favour after one failure.
	avoidAfterFailure = 2 * time.Second
	// outcomeMemory is the time over which ends of attempts are counted.
	outcomeMemory = 10 * time.Second
	// leastFailures is the number of counted failures that can exclude a VM.
	leastFailures = 3.0
	// excludeMargin is by how much a VM's failure rate must exceed that of the
	// pool's other VMs to exclude it. A failure of the whole service excludes none.
	excludeMargin = 0.3
	// firstExclusion is how long a VM gets nothing at first. The time doubles
	// each time up to mostExclusion.
	firstExclusion = 2 * time.Second
	mostExclusion  = 30 * time.Second
	// forgetAfter is when a VM that served nothing is forgotten.
	forgetAfter = 2 * time.Minute
)

// Key names one incarnation of a VM.
type Key struct {
	VM          vocab.VMID
	Incarnation vocab.VMIncarnation
}

// Health judges the VMs of one pool by the ends of this node's attempts. A VM
// that fails more than the others is excluded for a time, then probed with one
// attempt; with each success it may run twice as many.
type Health struct {
	vms map[Key]*vmHealth
	all outcomes
}

// vmHealth is what is known of one VM.
type vmHealth struct {
	running vocab.Slots
	counts  outcomes
	// avoided is the end of the time out of favour.
	avoided vocab.Instant
	// excluded is the end of the time in which the VM gets nothing.
	excluded  vocab.Instant
	exclusion time.Duration
	// allowance is the most that may run while the VM is tried out; 0 is no bound.
	allowance vocab.Slots
}

// outcomes counts ends of attempts, older ones for less.
type outcomes struct {
	ended, failed float64
	at            vocab.Instant
}

func (o *outcomes) age(now vocab.Instant) {
	keep := math.Exp(-float64(now.Sub(o.at)) / float64(outcomeMemory))
	o.ended *= keep
	o.failed *= keep
	o.at = now
}

func (o *outcomes) add(now vocab.Instant, failed bool) {
	o.age(now)
	o.ended++
	if failed {
		o.failed++
	}
}

// NewHealth returns a Health that knows nothing.
func NewHealth() *Health {
	return &Health{vms: map[Key]*vmHealth{}}
}

// Standing is what routing needs to know of a VM.
type Standing struct {
	// Running is the number of this node's attempts on the VM.
	Running vocab.Slots
	// Avoided is set for a while after a failure.
	Avoided bool
	// Room is how many more attempts the VM may get; meaningful if Bounded.
	Room    vocab.Slots
	Bounded bool
}

// Standing returns the standing of a VM.
func (h *Health) Standing(now vocab.Instant, k Key) Standing {
	v, ok := h.vms[k]
	if !ok {
		return Standing{}
	}
	s := Standing{Running: v.running, Avoided: now < v.avoided}
	if now < v.excluded {
		s.Bounded = true
		return s
	}
	if v.allowance > 0 {
		s.Bounded = true
		s.Room = max(0, v.allowance-v.running)
	}
	return s
}

// Started counts an attempt.
func (h *Health) Started(now vocab.Instant, k Key) {
	v, ok := h.vms[k]
	if !ok {
		v = &vmHealth{}
		v.counts.at = now
		h.vms[k] = v
	}
	v.running++
}

// Ended judges the VM by the end of an attempt that Started counted. Slots is
// the number of requests that the VM runs at the same time.
func (h *Health) Ended(now vocab.Instant, k Key, failed bool, slots vocab.Slots) {
	v, ok := h.vms[k]
	if !ok {
		return
	}
	v.running--
	v.counts.add(now, failed)
	h.all.add(now, failed)
	if failed {
		h.onFailure(now, v)
		return
	}
	v.onSuccess(now, slots)
}

func (h *Health) onFailure(now vocab.Instant, v *vmHealth) {
	v.avoided = now.Add(avoidAfterFailure)
	if now < v.excluded {
		return
	}
	if v.allowance > 0 || h.standsOut(v) {
		v.exclude(now)
	}
}

// standsOut reports whether the VM fails clearly more than the others.
func (h *Health) standsOut(v *vmHealth) bool {
	if v.counts.failed < leastFailures {
		return false
	}
	others := outcomes{ended: h.all.ended - v.counts.ended, failed: h.all.failed - v.counts.failed}
	return v.counts.rate() > others.rate()+excludeMargin
}

// rate returns the part of failures; 0 if nothing was counted.
func (o *outcomes) rate() float64 {
	if o.ended <= 0 {
		return 0
	}
	return max(0, o.failed/o.ended)
}

func (v *vmHealth) exclude(now vocab.Instant) {
	v.exclusion = min(mostExclusion, max(firstExclusion, 2*v.exclusion))
	v.excluded = now.Add(v.exclusion)
	v.allowance = 1
}

func (v *vmHealth) onSuccess(now vocab.Instant, slots vocab.Slots) {
	if v.allowance == 0 || now < v.excluded {
		return
	}
	v.avoided = 0
	v.allowance *= 2
	if v.allowance >= 2*slots {
		v.allowance = 0
		v.exclusion = 0
		v.counts = outcomes{at: now}
	}
}

// Prune forgets VMs that served nothing for long.
func (h *Health) Prune(now vocab.Instant) {
	for k, v := range h.vms {
		if v.running == 0 && now.Sub(v.counts.at) > forgetAfter && now > v.excluded {
			delete(h.vms, k)
		}
	}
}
