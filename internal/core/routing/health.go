package routing

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// avoidanceTime is the time for which a VM is avoided after a failure.
	avoidanceTime = 2 * time.Second
	// outcomeDecayTime is the time constant with which counted outcomes decay.
	outcomeDecayTime = 10 * time.Second
	// minFailures is the number of counted failures from which on a VM can be
	// excluded.
	minFailures = 3.0
	// failureRateMargin is by how much a VM's failure rate must exceed that of
	// the pool's other VMs for the VM to be excluded. A failure of the whole
	// service thus excludes no VM.
	failureRateMargin = 0.3
	// initialExclusion is the time for which a VM gets no attempts when it is
	// first excluded. The time doubles with each further exclusion, up to
	// maxExclusion.
	initialExclusion = 2 * time.Second
	maxExclusion     = 30 * time.Second
	// idleRetention is the time for which the health of a VM without attempts
	// is kept.
	idleRetention = 2 * time.Minute
)

// Key identifies one incarnation of a VM.
type Key struct {
	VM          vocab.VMID
	Incarnation vocab.VMIncarnation
}

// Health tracks the health of the VMs of one pool from the outcomes of this
// node's attempts. A VM that fails more often than the others is excluded for a
// time and then probed with one attempt. Each success doubles the number of
// attempts that the VM may run, until the bound is removed.
type Health struct {
	vms          map[Key]*vmHealth
	poolOutcomes decayedOutcomes
}

// vmHealth is the health of one VM.
type vmHealth struct {
	running  vocab.Slots
	outcomes decayedOutcomes
	// avoidedUntil is the end of the time in which the VM is avoided.
	avoidedUntil vocab.Instant
	// excludedUntil is the end of the time in which the VM gets no attempts.
	excludedUntil vocab.Instant
	// exclusionTime is the length of the last exclusion.
	exclusionTime time.Duration
	// maxRunning bounds the running attempts after an exclusion; 0 means no
	// bound.
	maxRunning vocab.Slots
}

// decayedOutcomes counts the outcomes of attempts with a weight that decays
// exponentially with their age.
type decayedOutcomes struct {
	ended, failed float64
	updatedAt     vocab.Instant
}

// decay reduces the counts by the time since they were last updated.
func (o *decayedOutcomes) decay(now vocab.Instant) {
	factor := math.Exp(-float64(now.Sub(o.updatedAt)) / float64(outcomeDecayTime))
	o.ended *= factor
	o.failed *= factor
	o.updatedAt = now
}

func (o *decayedOutcomes) add(now vocab.Instant, failed bool) {
	o.decay(now)
	o.ended++
	if failed {
		o.failed++
	}
}

// NewHealth returns a Health without any recorded attempts.
func NewHealth() *Health {
	return &Health{vms: map[Key]*vmHealth{}}
}

// VMStatus is the health of a VM as far as routing depends on it.
type VMStatus struct {
	// Running is the number of this node's attempts on the VM.
	Running vocab.Slots
	// Avoided is set for a while after a failure.
	Avoided bool
	// FreeCapacity is the number of further attempts that the VM may get, if Bounded is
	// set.
	FreeCapacity vocab.Slots
	Bounded      bool
}

// Status returns the status of a VM. A VM without recorded attempts is
// healthy.
func (h *Health) Status(now vocab.Instant, k Key) VMStatus {
	v, ok := h.vms[k]
	if !ok {
		return VMStatus{}
	}
	s := VMStatus{Running: v.running, Avoided: now < v.avoidedUntil}
	if now < v.excludedUntil {
		s.Bounded = true
		return s
	}
	if v.maxRunning > 0 {
		s.Bounded = true
		s.FreeCapacity = max(0, v.maxRunning-v.running)
	}
	return s
}

// Started records the start of an attempt.
func (h *Health) Started(now vocab.Instant, k Key) {
	v, ok := h.vms[k]
	if !ok {
		v = &vmHealth{}
		v.outcomes.updatedAt = now
		h.vms[k] = v
	}
	v.running++
}

// Ended records the outcome of an attempt that Started has recorded. Slots is
// the number of requests that the VM can run at the same time.
func (h *Health) Ended(now vocab.Instant, k Key, failed bool, slots vocab.Slots) {
	v, ok := h.vms[k]
	if !ok {
		return
	}
	v.running--
	v.outcomes.add(now, failed)
	h.poolOutcomes.add(now, failed)
	if failed {
		h.onFailure(now, v)
		return
	}
	v.onSuccess(now, slots)
}

// onFailure avoids the VM, and excludes it if it is being probed or fails more
// than the others.
func (h *Health) onFailure(now vocab.Instant, v *vmHealth) {
	v.avoidedUntil = now.Add(avoidanceTime)
	if now < v.excludedUntil {
		return
	}
	if v.maxRunning > 0 || h.failsMoreThanOthers(v) {
		v.exclude(now)
	}
}

// failsMoreThanOthers reports whether the VM's failure rate exceeds that of the
// pool's other VMs by failureRateMargin.
func (h *Health) failsMoreThanOthers(v *vmHealth) bool {
	if v.outcomes.failed < minFailures {
		return false
	}
	others := decayedOutcomes{ended: h.poolOutcomes.ended - v.outcomes.ended, failed: h.poolOutcomes.failed - v.outcomes.failed}
	return v.outcomes.failureRate() > others.failureRate()+failureRateMargin
}

// failureRate returns the fraction of failed attempts; 0 if none is counted.
func (o *decayedOutcomes) failureRate() float64 {
	if o.ended <= 0 {
		return 0
	}
	return max(0, o.failed/o.ended)
}

// exclude stops attempts on the VM for a time; after it, the VM is probed with
// one attempt.
func (v *vmHealth) exclude(now vocab.Instant) {
	v.exclusionTime = min(maxExclusion, max(initialExclusion, 2*v.exclusionTime))
	v.excludedUntil = now.Add(v.exclusionTime)
	v.maxRunning = 1
}

// onSuccess doubles the bound of a VM that is being probed. At twice the VM's
// slots the bound and the failure history are removed.
func (v *vmHealth) onSuccess(now vocab.Instant, slots vocab.Slots) {
	if v.maxRunning == 0 || now < v.excludedUntil {
		return
	}
	v.avoidedUntil = 0
	v.maxRunning *= 2
	if v.maxRunning >= 2*slots {
		v.maxRunning = 0
		v.exclusionTime = 0
		v.outcomes = decayedOutcomes{updatedAt: now}
	}
}

// Prune removes the VMs without running attempts and without an outcome for
// idleRetention.
func (h *Health) Prune(now vocab.Instant) {
	for k, v := range h.vms {
		if v.running == 0 && now.Sub(v.outcomes.updatedAt) > idleRetention && now > v.excludedUntil {
			delete(h.vms, k)
		}
	}
}
