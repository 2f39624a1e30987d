package admission

import "github.com/sardinehead/sardinehead/internal/vocab"

// Item is one waiting request.
type Item struct {
	Request vocab.RequestID
	Team    vocab.TeamID
	Key     vocab.KeyID
	Urgent  bool
	// Expires is the instant at which the item is refused if it still waits.
	Expires vocab.Instant
	// NotBefore is the earliest start, for example after a retry delay; 0 means no
	// delay.
	NotBefore vocab.Instant
	// Redispatched marks a request that was dispatched before. It starts before the
	// team's other requests and is never refused as too late.
	Redispatched bool
}

// Bounds limits the waiting items of one queue on one node.
type Bounds struct {
	// Queued is the maximum number of waiting items.
	Queued int
	// QueuedPerTeam is the maximum number of waiting items of one team.
	QueuedPerTeam int
}

// Refusal is the reason why an item was not admitted.
type Refusal int

const (
	// Admitted means that the item was admitted and waits.
	Admitted Refusal = iota
	// QueueFull means that Bounds.Queued is reached.
	QueueFull
	// TeamFull means that the bound for the team in this queue is reached.
	TeamFull
	// TooLate means that the item is not expected to start before it expires.
	TooLate
)

// PushResult is the result of Push.
type PushResult struct {
	Refusal Refusal
	// Evicted is the item that was removed from the queue to admit the new one, if
	// HasEvicted is set. The caller has to refuse it.
	Evicted    Item
	HasEvicted bool
}

// entry is a waiting Item, linked into one of its team's lists.
type entry struct {
	item       Item
	team       *team
	prev, next *entry
	// list is nil until NotBefore has passed.
	list         *entryList
	expiryIndex  int // index in Queue.expiry
	delayedIndex int // index in Queue.delayed; -1 if the item is not delayed
}

// entryList is a doubly linked list of entries.
type entryList struct {
	head, tail *entry
	count      int
}

func (l *entryList) pushBack(e *entry) {
	e.list, e.prev, e.next = l, l.tail, nil
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
	l.count++
}

func (l *entryList) pushFront(e *entry) {
	e.list, e.prev, e.next = l, nil, l.head
	if l.head == nil {
		l.tail = e
	} else {
		l.head.prev = e
	}
	l.head = e
	l.count++
}

func (l *entryList) remove(e *entry) {
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
	l.count--
}
