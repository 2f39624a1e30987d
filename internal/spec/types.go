// Package spec holds the operators' files: their types, defaults, validation
// and digest. A Fleet is the checked result; the rest of the program never
// sees a file that did not pass validation.
package spec

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Fleet is one checked configuration: the fleet file and all service files.
// Its slices are sorted by name, so equal configurations encode to equal bytes.
type Fleet struct {
	Name        string      `json:"fleet"`
	Regions     []Region    `json:"regions"`
	Teams       []Team      `json:"teams"`
	Pools       []Pool      `json:"pools"`
	Maintenance Maintenance `json:"maintenance"`
	Services    []Service   `json:"services"`
}

// Region is a set of availability zones that may be cut off together.
type Region struct {
	Name  vocab.RegionID `json:"name"`
	Zones []vocab.ZoneID `json:"zones"`
}

// Team is a customer with its key holders.
type Team struct {
	Name vocab.TeamID `json:"name"`
	// Share is the team's weight when demand exceeds capacity.
	Share int `json:"share"`
	// UpperLimit is the most that the team may have running in the fleet.
	UpperLimit vocab.Slots `json:"upper_limit"`
}

// Pool is a set of alike VMs that serve one service, or the spare pool.
type Pool struct {
	Name vocab.PoolID `json:"name"`
	// VMs is the number of VMs the pool has when nothing was moved.
	VMs int `json:"vms"`
	// Slots is the number of requests that one VM runs at the same time.
	Slots vocab.Slots `json:"slots"`
	// Connections is the most connections that one VM accepts from the whole fleet.
	Connections int `json:"connections"`
	// Zones lists the availability zones that the pool's VMs are spread over.
	Zones []vocab.ZoneID `json:"zones"`
	// Spare marks the pool that lends VMs to others.
	Spare bool `json:"spare"`
}

// Maintenance describes the rolling maintenance of every VM.
type Maintenance struct {
	// Every is the time within which each VM is maintained once.
	Every Duration `json:"every"`
	// Drain is the longest wait for a VM to finish its requests.
	Drain Duration `json:"drain"`
	// Reboot is the longest wait for a VM to come back.
	Reboot Duration `json:"reboot"`
	// StopAfter is the number of VMs that may fail to come back before a wave stops.
	StopAfter int `json:"stop_after"`
}

// Service is one queue and the pool behind it.
type Service struct {
	Queue vocab.QueueID `json:"service"`
	Pool  vocab.PoolID  `json:"pool"`
	// File is the path of the service's file, for messages to operators.
	File string `json:"file,omitempty"`
	// Open admits callers without a key.
	Open bool `json:"open"`
	// Teams lists the teams that may send work when the queue is not open.
	Teams    []vocab.TeamID `json:"teams"`
	Hold     Hold           `json:"hold"`
	Keep     Keep           `json:"keep"`
	Limits   TimeLimits     `json:"limits"`
	Requests []RequestRule  `json:"requests"`
}

// Hold bounds what a queue may keep.
type Hold struct {
	// Queued is the most requests waiting over the whole fleet.
	Queued int `json:"queued"`
	// QueuedPerTeam is the most requests of one team waiting over the whole fleet.
	QueuedPerTeam int `json:"queued_per_team"`
	// BodyBytes is the largest request body that is accepted.
	BodyBytes int64 `json:"body_bytes"`
}

// Keep is the availability budget of a service's pool.
type Keep struct {
	// Ready is the least number of ready VMs.
	Ready int `json:"ready"`
	// ReadyPerZone is the least number of ready VMs in each zone of the pool.
	ReadyPerZone int `json:"ready_per_zone"`
}

// TimeLimits bounds the stages of a request.
type TimeLimits struct {
	// Queue is the longest wait before the first attempt.
	Queue Duration `json:"queue"`
	// FirstByte is the longest wait for an upstream's first byte.
	FirstByte Duration `json:"first_byte"`
	// Run is the longest time that an upstream runs one request, answered or not.
	Run Duration `json:"run"`
}

// RequestRule gives properties to requests by method and path. The first rule
// that matches wins; a request that no rule matches is neither idempotent nor urgent.
type RequestRule struct {
	// Methods lists HTTP methods; empty matches all.
	Methods []string `json:"methods"`
	// PathPrefix matches the path after the queue's name.
	PathPrefix string `json:"path_prefix"`
	// Idempotent allows the request to be sent again after an unknown outcome.
	Idempotent bool `json:"idempotent"`
	// Urgent puts the request before others of its team.
	Urgent bool `json:"urgent"`
}

// Duration is a time.Duration written in JSON as a string such as "10s".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration {
	return time.Duration(d)
}
