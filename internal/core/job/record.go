package job

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ErrBadRecord is returned for a record of the job stream that cannot be decoded.
var ErrBadRecord = errors.New("invalid record in the job stream")

// Record is one record of the job stream. The stream is compacted: the newest record
// of each key is kept, and an empty value deletes the key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Record keys. The records of a job have a prefix and the job's ID, member records a
// prefix and the node; each claim has a key of its own.
const (
	acceptedPrefix  = "a/"
	progressPrefix  = "p/"
	cancelledPrefix = "c/"
	memberPrefix    = "n/"
	claimPrefix     = "k/"
	ownerKey        = "owner"
)

// Phase is the state of a job as shown to callers.
type Phase byte

const (
	// PhaseQueued means that no task has started yet.
	PhaseQueued Phase = 'q'
	// PhaseRunning means that at least one task has started.
	PhaseRunning Phase = 'r'
	// PhaseCompleted means that all tasks have completed.
	PhaseCompleted Phase = 'd'
	// PhaseFailed means that a task used up its attempts.
	PhaseFailed Phase = 'f'
	// PhaseCancelled means that the job was cancelled and none of its tasks runs.
	PhaseCancelled Phase = 'x'
)

// Finished reports whether the phase is terminal: no task of the job will run again.
func (p Phase) Finished() bool {
	return p == PhaseCompleted || p == PhaseFailed || p == PhaseCancelled
}

// Acceptance is the record of an accepted job.
type Acceptance struct {
	Queue vocab.QueueID `json:"q"`
	Pool  vocab.PoolID  `json:"pool"`
	Team  vocab.TeamID  `json:"t,omitempty"`
	At    Millis        `json:"at"`
	Spec  Spec          `json:"spec"`
	Terms Terms         `json:"o,omitzero"`
}

// taskRow is the durable state of a task that was assigned or has completed, or of a
// step whose tasks have all completed.
type taskRow struct {
	Occurrence int  `json:"k,omitempty"`
	Step       int  `json:"s,omitempty"`
	Index      int  `json:"i,omitempty"`
	Completed  bool `json:"d,omitempty"`
	// StepCompleted is set if all tasks of the step have completed; Index is unused then.
	StepCompleted bool     `json:"all,omitempty"`
	Run           Run      `json:"r,omitempty"`
	Failed        int      `json:"f,omitempty"`
	FailedRun     Run      `json:"fr,omitempty"`
	Worker        WorkerID `json:"w,omitempty"`
	Incarnation   Millis   `json:"b,omitempty"`
	Checkpoint    string   `json:"c,omitempty"`
	// Crashes, Possible, Suspected and Unexplained are the fields of crash.Record.
	Crashes     int `json:"x,omitempty"`
	Possible    int `json:"z,omitempty"`
	Suspected   int `json:"y,omitempty"`
	Unexplained int `json:"u,omitempty"`
	// CentiLogRatio is LogRatio of crash.Record in hundredths. Records of earlier versions don't have it.
	CentiLogRatio int64 `json:"v,omitempty"`
	// PlannedMS is the time from the job's acceptance to the intent of the run, in milliseconds. Hosts is
	// set in one row of the job, which describes no task: the workers of its tasks.
	PlannedMS Millis `json:"m,omitempty"`
	Hosts     []host `json:"h,omitempty"`
	// Grants is set in one row of the job, which describes no task: see grants.go.
	Grants []grant `json:"g,omitempty"`
}

// ownerRecord renews the ownership of an owner, or ends it if Resigned is set.
type ownerRecord struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"inc"`
	Fence       Fence             `json:"fence"`
	Resigned    bool              `json:"resigned,omitempty"`
	// Successor is set if Resigned is: the node that should claim first, or, if Appointed is
	// set, whose process of this incarnation is the owner from this record on.
	Successor vocab.NodeID      `json:"next,omitempty"`
	Appointed vocab.Incarnation `json:"appointed,omitempty"`
	// Overloaded is set if the owner resigned because most of its calls to workers were slow
	// or failed.
	Overloaded bool `json:"overloaded,omitempty"`
	// LeaseMS is the longest time that a lease granted by this owner may last, in milliseconds of a
	// node's clock. Records of earlier versions don't have it; leases of those owners may last as
	// long as workers allow.
	LeaseMS int64 `json:"lease_ms,omitempty"`
	// StrayMS has how long leases from stray orders may last, by worker, in milliseconds of a node's clock.
	// NotesStrays is set if it is complete: records of earlier versions have neither.
	StrayMS     map[WorkerID]int64 `json:"stray_ms,omitempty"`
	NotesStrays bool               `json:"notes_strays,omitempty"`
	// CrashRates has how often workers crash, by pool.
	CrashRates map[vocab.PoolID]crashRate `json:"crashes,omitempty"`
	// RecentOrders is written by processes of earlier versions, instead of orderRecord.
	RecentOrders []recentOrder `json:"ordered,omitempty"`
	// appointedBy is the owner that appointed this one, or empty; unconfirmed is set until the
	// first record of an appointed owner.
	appointedBy vocab.NodeID
	unconfirmed bool
}

// recentOrder is the last order to a machine in an owner record of an earlier version.
type recentOrder struct {
	Machine MachineID `json:"m"`
	// Open is set while the order has no response; it may also not have been sent yet.
	Open bool `json:"open,omitempty"`
	// AgeMS is the time from the response to the order until the record, in milliseconds.
	AgeMS int64 `json:"ms,omitempty"`
}

// claimRecord claims the ownership from the owner with the fence Replaces. Of several
// claims with the same Replaces, the first one on the stream takes effect; its offset
// determines the new fence.
type claimRecord struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"inc"`
	Replaces    Fence             `json:"replaces"`
}

// memberRecord describes a node to the other nodes. It is written at the start of the
// process, and again to request the ownership.
type memberRecord struct {
	CPUShare float64 `json:"strength"`
	// Address is the address at which other nodes reach this one.
	Address string `json:"address,omitempty"`
	// Incarnation is 0 in the records of earlier versions, which cannot be appointed.
	Incarnation vocab.Incarnation `json:"inc,omitempty"`
	// since is the offset of the first record of the incarnation.
	since int64
}

// JobRecord is the state of a job in the ledger of every node.
type JobRecord struct {
	ID         ID
	Acceptance *Acceptance
	Cancelled  bool
	Phase      Phase
	// progress is the encoded list of taskRow; only an owner decodes it. A finished job has rows
	// for its runs that are still being stopped.
	progress []byte
	// finishedAt is the time when this node read the terminal phase or, as the owner,
	// wrote it.
	finishedAt vocab.Instant
}

// VisiblePhase returns the phase shown to callers. A cancelled job is shown as such
// even while tasks of it are being stopped.
func (r *JobRecord) VisiblePhase() Phase {
	if r.Cancelled && r.Phase != PhaseCompleted && r.Phase != PhaseFailed {
		return PhaseCancelled
	}
	return r.Phase
}

// caller is the origin of a query or cancellation.
type caller struct {
	team vocab.TeamID
	// open is set on a queue that needs no key: all callers may access all jobs.
	open bool
}

// accessibleTo reports whether the job is accepted and the caller may access it.
func (r *JobRecord) accessibleTo(from caller) bool {
	return r != nil && r.Acceptance != nil && (from.open || r.Acceptance.Team == "" || r.Acceptance.Team == from.team)
}

func encodeAcceptance(id ID, a *Acceptance) (Record, error) {
	value, err := json.Marshal(a)
	return Record{Key: acceptedPrefix + string(id), Value: value}, errors.Wrap(err, "encoding an acceptance")
}

func encodeProgress(id ID, phase Phase, rows []taskRow) (Record, error) {
	if phase.Finished() && len(rows) == 0 {
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
		// An ownerRecord has only fields that can always be encoded.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding an owner record"))
	}
	return Record{Key: ownerKey, Value: value}
}

// beforeAllRecords is an offset below those of all records.
const beforeAllRecords = -1

// earlierOwner returns the record that an owner renewed its ownership with before it appointed
// another one in the record r, and whether r appoints one.
func (r Record) earlierOwner() (Record, bool) {
	var o ownerRecord
	if err := json.Unmarshal(r.Value, &o); err != nil || !o.Resigned || o.Appointed == 0 {
		return Record{}, false
	}
	earlier := encodeOwner(ownerRecord{Node: o.Node, Incarnation: o.Incarnation, Fence: o.Fence, LeaseMS: o.LeaseMS})
	earlier.Offset = beforeAllRecords
	return earlier, true
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
	for _, row := range rows {
		if row.Occurrence < 0 || row.Step < 0 || row.Index < 0 {
			return nil, errors.Wrap(ErrBadRecord, "a row with a negative number")
		}
	}
	return rows, nil
}

// Ledger is the state folded from the job stream.
type Ledger struct {
	Jobs map[ID]*JobRecord
	// tentative holds the jobs whose acceptance this node, as the owner, is writing.
	tentative map[ID]*JobRecord
	// strayUntil has the time by which leases from stray orders have expired, by worker. notesStrays is set if
	// the newest owner record says so.
	strayUntil  map[WorkerID]vocab.Instant
	notesStrays bool
	// owner is the newest owner record, ownerFence its fence.
	owner      ownerRecord
	ownerFence Fence
	// silent holds the workers whose lease is not extended.
	silent map[WorkerID]silentLease
	// learned holds what owners have learned of the jobs of each queue.
	learned map[vocab.QueueID]learnedQueue
	// handedOverAt is the time when the last owner record with Overloaded was read.
	handedOverAt vocab.Instant
	// crashRates is what the last owner record says of crashes.
	crashRates map[vocab.PoolID]crashRate
	// lastOrders holds the last order to each machine, whichever owner sent it. The next
	// owner must not order these machines before the minimum time between orders has
	// passed. orderRecords holds the keys of the records of orders and when they were read.
	lastOrders   map[MachineID]lastOrder
	orderRecords map[string]vocab.Instant
	// ordersByWorker holds the last order that names each worker.
	ordersByWorker map[WorkerID]lastOrder
	// drains holds the workers that an owner has seen draining.
	drains map[WorkerID]drain
	// members holds the member records by node; maxCPUShare is the highest CPU share of
	// all member records read so far.
	members     map[vocab.NodeID]memberRecord
	maxCPUShare float64
	// claims holds the keys of the claim records on the stream.
	claims map[string]bool
}

func newLedger() *Ledger {
	return &Ledger{
		Jobs: map[ID]*JobRecord{}, tentative: map[ID]*JobRecord{}, claims: map[string]bool{}, members: map[vocab.NodeID]memberRecord{},
		silent: map[WorkerID]silentLease{}, learned: map[vocab.QueueID]learnedQueue{}, lastOrders: map[MachineID]lastOrder{}, ordersByWorker: map[WorkerID]lastOrder{}, drains: map[WorkerID]drain{}, orderRecords: map[string]vocab.Instant{},
	}
}

func (l *Ledger) job(id ID) *JobRecord {
	job := l.Jobs[id]
	if job == nil {
		job = l.tentative[id]
		delete(l.tentative, id)
		if job == nil {
			job = &JobRecord{ID: id, Phase: PhaseQueued}
		}
		l.Jobs[id] = job
	}
	return job
}

// fold applies one record to the ledger. It returns the job that changed, if any.
func (l *Ledger) fold(now vocab.Instant, r Record) (*JobRecord, error) {
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
	case ordersPrefix:
		return nil, l.foldOrders(now, r)
	case silentPrefix:
		return nil, l.foldSilent(now, WorkerID(id), r.Value)
	case learnedPrefix:
		return nil, l.foldLearned(vocab.QueueID(id), r.Value)
	}
	if len(r.Value) == 0 {
		delete(l.Jobs, ID(id))
		return nil, nil
	}
	job := l.job(ID(id))
	switch prefix + "/" {
	case acceptedPrefix:
		if job.Acceptance != nil {
			return job, nil
		}
		var a Acceptance
		if err := json.Unmarshal(r.Value, &a); err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "decoding the acceptance of job %s", id), ErrBadRecord)
		}
		job.Acceptance = &a
	case progressPrefix:
		job.Phase = Phase(r.Value[0])
		job.progress = r.Value[1:]
		if job.Phase.Finished() {
			job.finishedAt = now
		}
	case cancelledPrefix:
		job.Cancelled = true
	default:
		return nil, errors.Wrapf(ErrBadRecord, "key %q", r.Key)
	}
	return job, nil
}

func (l *Ledger) foldMember(r Record) error {
	var m memberRecord
	if err := json.Unmarshal(r.Value, &m); err != nil {
		return errors.Mark(errors.Wrap(err, "decoding a member record"), ErrBadRecord)
	}
	node := vocab.NodeID(strings.TrimPrefix(r.Key, memberPrefix))
	m.since = r.Offset
	if before := l.members[node]; before.Incarnation == m.Incarnation && before.since != 0 {
		m.since = before.since
	}
	l.members[node] = m
	l.maxCPUShare = max(l.maxCPUShare, m.CPUShare)
	return nil
}

func (l *Ledger) foldOwner(now vocab.Instant, r Record) error {
	var o ownerRecord
	if err := json.Unmarshal(r.Value, &o); err != nil {
		return errors.Mark(errors.Wrap(err, "decoding an owner record"), ErrBadRecord)
	}
	l.foldEarlierFormat(now, o.RecentOrders)
	if o.Overloaded {
		l.handedOverAt = now
	}
	if o.Fence >= l.ownerFence {
		l.crashRates = o.CrashRates
		l.foldStrays(now, &o)
	}
	switch {
	case o.Fence < l.ownerFence:
	case o.Resigned && o.Appointed != 0:
		l.ownerFence = Fence(r.Offset + 1)
		l.owner = ownerRecord{
			Node: o.Successor, Incarnation: o.Appointed, Fence: l.ownerFence, LeaseMS: o.LeaseMS, appointedBy: o.Node, unconfirmed: true,
		}
	default:
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
		return errors.Mark(errors.Wrap(err, "decoding a claim"), ErrBadRecord)
	}
	l.claims[r.Key] = true
	if c.Replaces == l.ownerFence {
		l.ownerFence = Fence(r.Offset + 1)
		// The leases of earlier owners may last on; before the first claim there are none.
		leaseMS := l.owner.LeaseMS
		if c.Replaces == 0 {
			leaseMS = 1
		}
		l.owner = ownerRecord{Node: c.Node, Incarnation: c.Incarnation, Fence: l.ownerFence, LeaseMS: leaseMS}
	}
	return nil
}
