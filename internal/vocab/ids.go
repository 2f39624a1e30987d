// Package vocab defines the identifier and unit types that all other packages
// share. Its functions only convert and compare them, and it imports no other
// package of this module.
package vocab

// TeamID names a team: a customer with a share and an upper limit.
type TeamID string

// PoolID names a pool of VMs.
type PoolID string

// VMID names a VM as the platform's VM list does. After a replacement, the list
// may show the same name with another VMIncarnation.
type VMID string

// VMIncarnation distinguishes successive VMs of the same name. It comes from the
// platform's VM list and grows with each replacement or reboot.
type VMIncarnation uint64

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a region, a set of availability zones.
type RegionID string

// RackID names a rack within an availability zone.
type RackID string

// QueueID names the queue of one service. Callers address a queue, never a VM.
type QueueID string

// NodeID names an entry node: an entry VM that runs this program.
type NodeID string

// Incarnation identifies one run of an entry process. It is drawn at random when
// the process starts, so that it is never reused.
type Incarnation uint64

// RequestID numbers the requests of one entry process, starting at 1.
type RequestID uint64

// AttemptID numbers the attempts of one entry process, starting at 1. A retry
// is a new attempt of the same request.
type AttemptID uint64

// TaskID names a task. All attempts of a task share it.
type TaskID string

// KeyID names an API key. It is public; the secret of the key is not derived from
// it.
type KeyID string

// RecordID identifies a record on the log. Two records with the same RecordID are
// one record that was appended twice.
type RecordID string

// StreamID names a stream of the platform's log service.
type StreamID string

// Offset is the position of a record within its stream. The first record has
// offset 1; offset 0 means that no record has been read.
type Offset uint64

// Revision numbers accepted configurations. It is the Offset of the record that
// published the configuration; 0 means that there is no configuration.
type Revision uint64

// Epoch numbers the successive owners of a shared resource. It is the Offset of
// the accepted claim, so a later owner always has a higher Epoch.
type Epoch uint64

// Slots is a number of requests or tasks that may run at the same time.
type Slots int
