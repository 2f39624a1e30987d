// Package spec holds the types, defaults, validation and digest of the
// operators' files, which configure a fleet. The other packages use a Fleet,
// which is only made of files that passed validation.
package spec

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Fleet is a checked configuration: the content of the fleet file and of all
// service files. Its slices are sorted by name, so that equal configurations
// encode to equal bytes.
type Fleet struct {
	Name        string      `json:"fleet"`
	Regions     []Region    `json:"regions"`
	Teams       []Team      `json:"teams"`
	Pools       []Pool      `json:"pools"`
	Maintenance Maintenance `json:"maintenance"`
	Services    []Service   `json:"services"`
}

// Region is a set of availability zones that a network failure may isolate
// together.
type Region struct {
	Name  vocab.RegionID `json:"name"`
	Zones []vocab.ZoneID `json:"zones"`
}

// Team is a customer, to which API keys and capacity are assigned.
type Team struct {
	Name vocab.TeamID `json:"name"`
	// Share is the weight of the team when demand exceeds capacity.
	Share int `json:"share"`
	// UpperLimit is the maximum number of slots that the team may use in the
	// fleet at the same time.
	UpperLimit vocab.Slots `json:"upper_limit"`
}

// Pool is a set of identical VMs that run one service, or the spare pool.
type Pool struct {
	Name vocab.PoolID `json:"name"`
	// VMs is the number of VMs of the pool, not counting moves between pools.
	VMs int `json:"vms"`
	// Slots is the number of requests that one VM runs at the same time.
	Slots vocab.Slots `json:"slots"`
	// MaxConnections is the maximum number of connections that one VM accepts from
	// all entry nodes together.
	MaxConnections int `json:"connections"`
	// Zones lists the availability zones that the pool's VMs are spread over.
	Zones []vocab.ZoneID `json:"zones"`
	// Spare marks the spare pool, whose VMs can be moved to other pools.
	Spare bool `json:"spare"`
}

// Maintenance describes the rolling maintenance of every VM.
type Maintenance struct {
	// Interval is the time within which each VM is maintained once.
	Interval Duration `json:"every"`
	// DrainTimeout is the maximum time for a VM to finish its requests.
	DrainTimeout Duration `json:"drain"`
	// RebootTimeout is the maximum time for a VM to become ready again after a reboot.
	RebootTimeout Duration `json:"reboot"`
	// StopAfter is the number of failed VMs at which a wave is paused. Until that
	// many VMs have returned, it also limits the VMs in maintenance. Zero
	// disables both.
	StopAfter int `json:"stop_after"`
}

// Service is a queue and the pool that runs its requests.
type Service struct {
	Queue vocab.QueueID `json:"service"`
	Pool  vocab.PoolID  `json:"pool"`
	// File is the path of the service's file, for messages to operators.
	File string `json:"file,omitempty"`
	// Open admits callers without an API key.
	Open bool `json:"open"`
	// Teams lists the teams that may use the service if it is not open.
	Teams       []vocab.TeamID     `json:"teams"`
	QueueLimits QueueLimits        `json:"hold"`
	Budget      AvailabilityBudget `json:"keep"`
	TimeLimits  TimeLimits         `json:"limits"`
	Requests    []RequestRule      `json:"requests"`
}

// QueueLimits sets the limits of a queue.
type QueueLimits struct {
	// MaxQueued is the maximum number of waiting requests in the whole fleet.
	MaxQueued int `json:"queued"`
	// MaxQueuedPerTeam is the maximum number of waiting requests of one team in the
	// whole fleet.
	MaxQueuedPerTeam int `json:"queued_per_team"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"body_bytes"`
}

// AvailabilityBudget is the availability budget of a service's pool.
type AvailabilityBudget struct {
	// MinReady is the minimum number of ready VMs.
	MinReady int `json:"ready"`
	// MinReadyPerZone is the minimum number of ready VMs in each zone of the pool.
	MinReadyPerZone int `json:"ready_per_zone"`
}

// TimeLimits are the timeouts for the stages of a request.
type TimeLimits struct {
	// Queue is the maximum wait in the queue before the first attempt.
	Queue Duration `json:"queue"`
	// FirstByte is the maximum wait for the first byte of the response of an
	// upstream.
	FirstByte Duration `json:"first_byte"`
	// Run is the maximum time that an upstream runs one request, whether it
	// responds or not.
	Run Duration `json:"run"`
}

// RequestRule sets properties of requests by method and path. The first rule
// that matches applies; a request that no rule matches is neither idempotent
// nor urgent.
type RequestRule struct {
	// Methods lists the HTTP methods that match; an empty list matches all.
	Methods []string `json:"methods"`
	// PathPrefix is a prefix of the path after the name of the queue.
	PathPrefix string `json:"path_prefix"`
	// Idempotent requests may be sent again after an unknown outcome.
	Idempotent bool `json:"idempotent"`
	// Urgent requests are dispatched before other requests of their team.
	Urgent bool `json:"urgent"`
}

// Duration is a time.Duration that is encoded in JSON as a string such as "10s".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration {
	return time.Duration(d)
}
