package task

import (
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ErrGap is returned for a record that does not directly follow the last folded
// one. The ledger is unchanged.
var ErrGap = errors.New("records of the task stream are missing")

// ErrUnreadable is returned for a record that this version can't decode. The
// ledger is unchanged, and no later record may be folded.
var ErrUnreadable = errors.New("record of the task stream can't be read")

// Ledger is the state folded from one task stream.
type Ledger struct {
	shard            vocab.StreamID
	offset           vocab.Offset
	owner            Owner
	tasks            map[vocab.TaskID]*Task
	byIdempotencyKey map[idempotencyKey]vocab.TaskID
	// ownerHeartbeat is the offset of the owner's last record; every record of
	// the owner is a heartbeat.
	ownerHeartbeat vocab.Offset
	// lastSnapshot is the offset that the last complete snapshot on the stream
	// covers.
	lastSnapshot vocab.Offset
}

// idempotencyKey is a caller's idempotency key, which is unique within a team.
type idempotencyKey struct {
	team vocab.TeamID
	key  string
}

// NewLedger returns the ledger of an empty stream.
func NewLedger(shard vocab.StreamID) *Ledger {
	return &Ledger{
		shard:            shard,
		tasks:            map[vocab.TaskID]*Task{},
		byIdempotencyKey: map[idempotencyKey]vocab.TaskID{},
	}
}

// Offset returns the offset of the last folded record.
func (l *Ledger) Offset() vocab.Offset { return l.offset }

// Owner returns the owner of the shard.
func (l *Ledger) Owner() Owner { return l.owner }

// Len returns the number of tasks, ended ones included.
func (l *Ledger) Len() int { return len(l.tasks) }

// Task returns the task with the given ID.
func (l *Ledger) Task(id vocab.TaskID) (*Task, bool) {
	t, ok := l.tasks[id]
	return t, ok
}

// Resolve returns the task of an accepted record: the task with its ID, or an
// earlier one with the same team and idempotency key.
func (l *Ledger) Resolve(a record.TaskAccepted) (*Task, bool) {
	if t, ok := l.tasks[a.Task]; ok {
		return t, true
	}
	if a.IdempotencyKey == "" {
		return nil, false
	}
	id, ok := l.byIdempotencyKey[idempotencyKey{team: a.Team, key: a.IdempotencyKey}]
	if !ok {
		return nil, false
	}
	return l.tasks[id], true
}

// Change describes the effect of one folded record.
type Change struct {
	Offset vocab.Offset
	ID     vocab.RecordID
	Body   record.Body
	// Tasks lists the tasks that the record changed.
	Tasks []*Task
	// FromOwner means that the record was appended by the shard's owner as of
	// that offset.
	FromOwner bool
}

// Fold applies one record. It ignores records up to the ledger's offset, and
// fails with ErrGap or ErrUnreadable.
func (l *Ledger) Fold(s record.Sequenced) (Change, error) {
	if s.Offset <= l.offset {
		return Change{}, nil
	}
	if s.Offset != l.offset+1 {
		return Change{}, errors.Wrapf(ErrGap, "%s: have offset %d, got %d", l.shard, l.offset, s.Offset)
	}
	if s.Envelope.Kind == record.KindTaskSnapshotChunk {
		l.offset = s.Offset
		return Change{Offset: s.Offset, ID: s.Envelope.ID}, nil
	}
	body, err := record.Decode(s.Envelope)
	if err != nil {
		return Change{}, errors.Mark(errors.Wrapf(err, "%s: offset %d", l.shard, s.Offset), ErrUnreadable)
	}
	l.offset = s.Offset
	tasks := l.apply(body)
	owner := l.ownerHeartbeat == l.offset
	return Change{Offset: s.Offset, ID: s.Envelope.ID, Body: body, Tasks: tasks, FromOwner: owner}, nil
}

func (l *Ledger) apply(body record.Body) []*Task {
	switch b := body.(type) {
	case record.TaskAccepted:
		return taskList(l.accept(b))
	case record.TasksCancelled:
		return l.cancel(b)
	case record.TaskOwnerClaimed:
		l.claim(b)
		return nil
	case record.TaskSnapshotDone:
		l.lastSnapshot = max(l.lastSnapshot, b.Offset)
		return nil
	default:
		return l.applyOwnerRecord(body)
	}
}

// applyOwnerRecord applies a record that only the owner may append. It ignores
// records of other epochs than the current one.
func (l *Ledger) applyOwnerRecord(body record.Body) []*Task {
	if epochOf(body) != l.owner.Epoch || l.owner.Epoch == 0 {
		return nil
	}
	l.ownerHeartbeat = l.offset
	switch b := body.(type) {
	case record.TaskStartIntended:
		return taskList(l.intendStart(b))
	case record.TaskAttemptLost:
		return taskList(l.loseAttempt(b))
	case record.TaskFinished:
		return taskList(l.endTask(b))
	case record.TaskParked:
		return taskList(l.park(b))
	case record.TaskUnparked:
		return taskList(l.unpark(b))
	case record.TaskNeedsOperator:
		return taskList(l.needOperator(b))
	case record.TasksForgotten:
		return l.forget(b)
	default:
		return nil
	}
}

// epochOf returns the epoch of an owner's record, or 0 for other records.
func epochOf(body record.Body) vocab.Epoch {
	switch b := body.(type) {
	case record.TaskOwnerRenewed:
		return b.Epoch
	case record.TaskStartIntended:
		return b.Epoch
	case record.TaskAttemptLost:
		return b.Epoch
	case record.TaskFinished:
		return b.Epoch
	case record.TaskParked:
		return b.Epoch
	case record.TaskUnparked:
		return b.Epoch
	case record.TaskNeedsOperator:
		return b.Epoch
	case record.TasksForgotten:
		return b.Epoch
	default:
		return 0
	}
}

// taskList returns a slice with the task, or nil for a nil task.
func taskList(t *Task) []*Task {
	if t == nil {
		return nil
	}
	return []*Task{t}
}
