package task

import (
	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ErrGap means that records between the ledger's offset and the given one are
// missing. The ledger is unchanged.
var ErrGap = errors.New("records of the task stream are missing")

// ErrUnreadable means that a record can't be folded by this version. The
// ledger is unchanged and must not be folded further.
var ErrUnreadable = errors.New("record of the task stream can't be read")

// Ledger is the fold of one task stream.
type Ledger struct {
	shard  vocab.StreamID
	offset vocab.Offset
	owner  Owner
	tasks  map[vocab.TaskID]*Task
	byKey  map[callerKey]vocab.TaskID
	// ownerSign is the offset of the owner's last record.
	ownerSign vocab.Offset
	// snapshotAt is the offset of the last complete snapshot on the stream.
	snapshotAt vocab.Offset
}

type callerKey struct {
	team vocab.TeamID
	key  string
}

// NewLedger returns the ledger of a stream of which nothing was read.
func NewLedger(shard vocab.StreamID) *Ledger {
	return &Ledger{
		shard: shard,
		tasks: map[vocab.TaskID]*Task{},
		byKey: map[callerKey]vocab.TaskID{},
	}
}

// Offset returns the offset of the last folded record.
func (l *Ledger) Offset() vocab.Offset { return l.offset }

// Owner returns the holder of the shard.
func (l *Ledger) Owner() Owner { return l.owner }

// Len returns the number of known tasks, ended ones included.
func (l *Ledger) Len() int { return len(l.tasks) }

// Task returns a task by its name.
func (l *Ledger) Task(id vocab.TaskID) (*Task, bool) {
	t, ok := l.tasks[id]
	return t, ok
}

// Resolve returns the task that an accepted record stands for: the task of
// that name, or the earlier one of the same team and idempotency key.
func (l *Ledger) Resolve(a record.TaskAccepted) (*Task, bool) {
	if t, ok := l.tasks[a.Task]; ok {
		return t, true
	}
	if a.IdempotencyKey == "" {
		return nil, false
	}
	id, ok := l.byKey[callerKey{team: a.Team, key: a.IdempotencyKey}]
	if !ok {
		return nil, false
	}
	return l.tasks[id], true
}

// Change is what one record did.
type Change struct {
	Offset vocab.Offset
	ID     vocab.RecordID
	Body   record.Body
	// Tasks lists the tasks that the record changed.
	Tasks []*Task
	// Owner reports that the record came from the owner at that offset.
	Owner bool
}

// Fold applies one record. Records up to the ledger's offset are ignored. It
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
	owner := l.ownerSign == l.offset
	return Change{Offset: s.Offset, ID: s.Envelope.ID, Body: body, Tasks: tasks, Owner: owner}, nil
}

func (l *Ledger) apply(body record.Body) []*Task {
	switch b := body.(type) {
	case record.TaskAccepted:
		return one(l.accept(b))
	case record.TasksCancelled:
		return l.cancel(b)
	case record.TaskOwnerClaimed:
		l.claim(b)
		return nil
	case record.TaskSnapshotDone:
		l.snapshotAt = max(l.snapshotAt, b.At)
		return nil
	default:
		return l.applyOwned(body)
	}
}

// applyOwned applies the records that only the owner may append.
func (l *Ledger) applyOwned(body record.Body) []*Task {
	if epochOf(body) != l.owner.Epoch || l.owner.Epoch == 0 {
		return nil
	}
	l.ownerSign = l.offset
	switch b := body.(type) {
	case record.TaskStartIntended:
		return one(l.intend(b))
	case record.TaskAttemptLost:
		return one(l.lose(b))
	case record.TaskEnded:
		return one(l.end(b))
	case record.TaskParked:
		return one(l.park(b))
	case record.TaskUnparked:
		return one(l.unpark(b))
	case record.TaskNeedsPerson:
		return one(l.needPerson(b))
	case record.TasksForgotten:
		return l.forget(b)
	default:
		return nil
	}
}

func epochOf(body record.Body) vocab.Epoch {
	switch b := body.(type) {
	case record.TaskOwnerRenewed:
		return b.Epoch
	case record.TaskStartIntended:
		return b.Epoch
	case record.TaskAttemptLost:
		return b.Epoch
	case record.TaskEnded:
		return b.Epoch
	case record.TaskParked:
		return b.Epoch
	case record.TaskUnparked:
		return b.Epoch
	case record.TaskNeedsPerson:
		return b.Epoch
	case record.TasksForgotten:
		return b.Epoch
	default:
		return 0
	}
}

func one(t *Task) []*Task {
	if t == nil {
		return nil
	}
	return []*Task{t}
}
