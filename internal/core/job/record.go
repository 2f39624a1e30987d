package job

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ErrBadRecord is returned for a record of the stream that cannot be read.
var ErrBadRecord = errors.New("record of the job stream cannot be read")

// Record is one record of the job stream. The stream keeps the newest record
// of each key for good; an empty value drops the key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

const (
	acceptedPrefix  = "a/"
	progressPrefix  = "p/"
	cancelledPrefix = "c/"
	memberPrefix    = "n/"
	claimPrefix     = "k/"
	ownerKey        = "owner"
)

// Phase is the state of a job as callers see it.
type Phase byte

const (
	// PhaseQueued means that no task has started.
	PhaseQueued Phase = 'q'
	// PhaseRunning means that a task has started.
	PhaseRunning Phase = 'r'
	// PhaseCompleted means that all tasks are done.
	PhaseCompleted Phase = 'd'
	// PhaseFailed means that a task failed too often.
	PhaseFailed Phase = 'f'
	// PhaseCancelled means that the job was cancelled and nothing of it runs.
	PhaseCancelled Phase = 'x'
)

// Ended reports whether nothing of the job will run any more.
func (p Phase) Ended() bool {
	return p == PhaseCompleted || p == PhaseFailed || p == PhaseCancelled
}

// Acceptance is the record of an accepted job.
type Acceptance struct {
	Queue vocab.QueueID `json:"q"`
	Pool  vocab.PoolID  `json:"pool"`
	Team  vocab.TeamID  `json:"t,omitempty"`
	At    Millis        `json:"at"`
	Spec  Spec          `json:"spec"`
}

// taskRow is the durable state of a task that is no longer untouched.
type taskRow struct {
	Occurrence int  `json:"k,omitempty"`
	Step       int  `json:"s,omitempty"`
	Index      int  `json:"i,omitempty"`
	Done       bool `json:"d,omitempty"`
	// All is set if all tasks of the step are done; Index means nothing then.
	All        bool     `json:"all,omitempty"`
	Run        Run      `json:"r,omitempty"`
	Failed     int      `json:"f,omitempty"`
	Worker     WorkerID `json:"w,omitempty"`
	Born       Millis   `json:"b,omitempty"`
	Checkpoint string   `json:"c,omitempty"`
}

// ownerRecord is a renewal or a resignation of an owner.
type ownerRecord struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"inc"`
	Fence       Fence             `json:"fence"`
	Resigned    bool              `json:"resigned,omitempty"`
	// Ordered lists the machines that got an order lately, or get one once the
	// record is on the stream.
	Ordered []orderedMachine `json:"ordered,omitempty"`
}

// orderedMachine is a machine that got an order lately.
type orderedMachine struct {
	Machine MachineID `json:"m"`
	// Open is set while the order has no answer: it may still leave.
	Open bool `json:"open,omitempty"`
	// AgeMS is how long before the record the order had its answer. It is negative
	// where an earlier owner's order is to be heeded for longer.
	AgeMS int64 `json:"ms,omitempty"`
}

// claimRecord asks for the ownership after the owner with a fence. Of several
// that name one fence the first on the stream takes effect; its offset gives
// the next fence.
type claimRecord struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"inc"`
	Replaces    Fence             `json:"replaces"`
}

// memberRecord is what a process says of itself at its start.
type memberRecord struct {
	Strength float64 `json:"strength"`
	// Address is where the node's peers reach it.
	Address string `json:"address,omitempty"`
}

// Entry is what every node keeps of a job.
type Entry struct {
	ID         ID
	Acceptance *Acceptance
	Cancelled  bool
	Phase      Phase
	// rows is the encoded progress; only an owner decodes it.
	rows []byte
	// endedAt is when the end was folded, on this node's clock.
	endedAt vocab.Instant
}

// Visible returns the state that callers are shown.
func (e *Entry) Visible() Phase {
	if e.Cancelled && e.Phase != PhaseCompleted && e.Phase != PhaseFailed {
		return PhaseCancelled
	}
	return e.Phase
}

// asker is who asks for a job or cancels it.
type asker struct {
	team vocab.TeamID
	// open is set on a queue that needs no key: its jobs are anybody's.
	open bool
}

// of reports whether the job is accepted and the asker's own.
func (e *Entry) of(who asker) bool {
	return e != nil && e.Acceptance != nil && (who.open || e.Acceptance.Team == "" || e.Acceptance.Team == who.team)
}

func encodeAcceptance(id ID, a *Acceptance) (Record, error) {
	value, err := json.Marshal(a)
	return Record{Key: acceptedPrefix + string(id), Value: value}, errors.Wrap(err, "encoding an acceptance")
}

func encodeProgress(id ID, phase Phase, rows []taskRow) (Record, error) {
	if phase.Ended() {
		return Record{Key: progressPrefix + string(id), Value: []byte{byte(phase)}}, nil
	}
	encoded, err := json.Marshal(rows)
	return Record{
		Key:   progressPrefix + string(id),
		Value: append([]byte{byte(phase)}, encoded...),
	}, errors.Wrap(err, "encoding progress")
}

func encodeOwner(o ownerRecord) Record {
	value, err := json.Marshal(o)
	if err != nil {
		// Strings, numbers and lists of them always have an encoding.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding an owner record"))
	}
	return Record{Key: ownerKey, Value: value}
}

func encodeClaim(key string, c claimRecord) (Record, error) {
	value, err := json.Marshal(c)
	return Record{Key: key, Value: value}, errors.Wrap(err, "encoding a claim")
}

func encodeMember(node vocab.NodeID, m memberRecord) (Record, error) {
	value, err := json.Marshal(m)
	return Record{Key: memberPrefix + string(node), Value: value}, errors.Wrap(err, "encoding a member record")
}

func decodeRows(raw []byte) ([]taskRow, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	var rows []taskRow
	if err := json.Unmarshal(raw, &rows); err != nil {
		return nil, errors.Mark(err, ErrBadRecord)
	}
	return rows, nil
}

// Ledger is the fold of the job stream.
type Ledger struct {
	Jobs map[ID]*Entry
	// owner is the newest owner record, ownerFence its fence.
	owner      ownerRecord
	ownerFence Fence
	// ordered lists the machines that the last owner record names, whoever wrote
	// it, and orderedAt is when it was folded: a later owner leaves them alone for a
	// while.
	ordered   []orderedMachine
	orderedAt vocab.Instant
	// members holds what each node announced, strongest the greatest strength of any
	// process so far.
	members   map[vocab.NodeID]memberRecord
	strongest float64
	// claims holds the keys of the claims that the stream keeps.
	claims map[string]bool
}

func newLedger() *Ledger {
	return &Ledger{Jobs: map[ID]*Entry{}, claims: map[string]bool{}, members: map[vocab.NodeID]memberRecord{}}
}

func (l *Ledger) entry(id ID) *Entry {
	e := l.Jobs[id]
	if e == nil {
		e = &Entry{ID: id, Phase: PhaseQueued}
		l.Jobs[id] = e
	}
	return e
}

// fold applies one record. It returns the job that changed, if any.
func (l *Ledger) fold(now vocab.Instant, r Record) (*Entry, error) {
	if r.Key == ownerKey {
		return nil, l.foldOwner(now, r)
	}
	prefix, id, found := strings.Cut(r.Key, "/")
	if !found {
		return nil, errors.Wrapf(ErrBadRecord, "key %q", r.Key)
	}
	switch prefix + "/" {
	case memberPrefix:
		return nil, l.foldMember(r)
	case claimPrefix:
		return nil, l.foldClaim(r)
	}
	if len(r.Value) == 0 {
		delete(l.Jobs, ID(id))
		return nil, nil
	}
	e := l.entry(ID(id))
	switch prefix + "/" {
	case acceptedPrefix:
		if e.Acceptance != nil {
			return e, nil
		}
		var a Acceptance
		if err := json.Unmarshal(r.Value, &a); err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "acceptance of %s", id), ErrBadRecord)
		}
		e.Acceptance = &a
	case progressPrefix:
		e.Phase = Phase(r.Value[0])
		e.rows = r.Value[1:]
		if e.Phase.Ended() {
			e.endedAt = now
		}
	case cancelledPrefix:
		e.Cancelled = true
	default:
		return nil, errors.Wrapf(ErrBadRecord, "key %q", r.Key)
	}
	return e, nil
}

func (l *Ledger) foldMember(r Record) error {
	var m memberRecord
	if err := json.Unmarshal(r.Value, &m); err != nil {
		return errors.Mark(errors.Wrap(err, "member record"), ErrBadRecord)
	}
	l.members[vocab.NodeID(strings.TrimPrefix(r.Key, memberPrefix))] = m
	l.strongest = max(l.strongest, m.Strength)
	return nil
}

func (l *Ledger) foldOwner(now vocab.Instant, r Record) error {
	var o ownerRecord
	if err := json.Unmarshal(r.Value, &o); err != nil {
		return errors.Mark(errors.Wrap(err, "owner record"), ErrBadRecord)
	}
	l.ordered, l.orderedAt = o.Ordered, now
	if o.Fence >= l.ownerFence {
		l.owner, l.ownerFence = o, o.Fence
	}
	return nil
}

func (l *Ledger) foldClaim(r Record) error {
	if len(r.Value) == 0 {
		delete(l.claims, r.Key)
		return nil
	}
	var c claimRecord
	if err := json.Unmarshal(r.Value, &c); err != nil {
		return errors.Mark(errors.Wrap(err, "claim"), ErrBadRecord)
	}
	l.claims[r.Key] = true
	if c.Replaces == l.ownerFence {
		l.ownerFence = Fence(r.Offset + 1)
		l.owner = ownerRecord{Node: c.Node, Incarnation: c.Incarnation, Fence: l.ownerFence}
	}
	return nil
}
