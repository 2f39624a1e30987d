package admission

import "github.com/sardinehead/sardinehead/internal/vocab"

// Item is one waiting request.
type Item struct {
	Request vocab.RequestID
	Team    vocab.TeamID
	Key     vocab.KeyID
	Urgent  bool
	// Expires is the instant at which waiting ends with a refusal.
	Expires vocab.Instant
	// NotBefore delays the request, for instance between two attempts; 0 does not.
	NotBefore vocab.Instant
	// Again marks a request that was dispatched before. It goes before the
	// team's other requests and is not refused for lack of time.
	Again bool
}

// Bounds limits one queue on one node.
type Bounds struct {
	// Queued is the most items that wait.
	Queued int
	// QueuedPerTeam is the most items of one team that wait.
	QueuedPerTeam int
}

// Refusal tells why an item was not let in.
type Refusal int

const (
	// Admitted means that the item waits.
	Admitted Refusal = iota
	// QueueFull means that the queue's own bound is reached.
	QueueFull
	// TeamFull means that the team's bound in this queue is reached.
	TeamFull
	// TooLate means that the item could not start before it expires.
	TooLate
)

// Verdict is the answer to a Push.
type Verdict struct {
	Refusal Refusal
	// Evicted is set if another item had to make room. It is no longer in the
	// queue and has to get its final answer.
	Evicted    Item
	HasEvicted bool
}

// entry is an Item in the queue, linked into its team's list.
type entry struct {
	item       Item
	team       *team
	prev, next *entry
	// list is nil while the item waits for its NotBefore.
	list    *list
	expiry  int // index in Queue.expiry
	delayed int // index in Queue.delayed, -1 if it is not there
}

// list is a doubly linked list of entries.
type list struct {
	head, tail *entry
	n          int
}

func (l *list) pushBack(e *entry) {
	e.list, e.prev, e.next = l, l.tail, nil
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
	l.n++
}

func (l *list) pushFront(e *entry) {
	e.list, e.prev, e.next = l, nil, l.head
	if l.head == nil {
		l.tail = e
	} else {
		l.head.prev = e
	}
	l.head = e
	l.n++
}

func (l *list) remove(e *entry) {
	if e.prev == nil {
		l.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.list, e.prev, e.next = nil, nil, nil
	l.n--
}
