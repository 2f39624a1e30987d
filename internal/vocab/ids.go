// Package vocab holds the identifiers and units that every other package
// shares. It has no behaviour beyond conversion and comparison, and it imports
// nothing of this project.
package vocab

// TeamID names a team: a customer with a share and an upper limit.
type TeamID string

// PoolID names a pool of VMs.
type PoolID string

// VMID names a VM as the platform's VM list does. A name may come back with
// another VMIncarnation after a replacement.
type VMID string

// VMIncarnation tells successive VMs of one name apart. It comes from the
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

// NodeID names an entry node: one entry VM running this program.
type NodeID string

// Incarnation identifies one start of an entry process. It is drawn at random
// when the process starts and is never reused.
type Incarnation uint64

// RequestID numbers the requests of one entry process, starting at 1.
type RequestID uint64

// AttemptID numbers the attempts of one entry process, starting at 1. A retry
// is a new attempt of the same request.
type AttemptID uint64

// TaskID names a task over its whole life.
type TaskID string

// KeyID names a key. It is public; the key's secret is not derived from it.
type KeyID string

// RecordID identifies a record on the log. Two records with one RecordID are
// the same record appended twice.
type RecordID string

// StreamID names a stream of the platform's log service.
type StreamID string

// Offset is the position of a record within its stream. The first record has
// offset 1; offset 0 stands for "nothing read yet".
type Offset uint64

// Revision numbers accepted configurations. It is the Offset of the publish
// record that was accepted; 0 stands for "no configuration".
type Revision uint64

// Epoch numbers the successive owners of something shared. It is the Offset of
// the claim that won, so a later owner always has a higher Epoch.
type Epoch uint64

// Slots counts requests or tasks that may run at the same time.
type Slots int
