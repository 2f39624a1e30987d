package core

// NoticeID numbers the events of the process's log. docs/LOG-EVENTS.md lists
// them; numbers are never reused.
type NoticeID int

const (
	// NoticeConfigInForce: another configuration came into force.
	NoticeConfigInForce NoticeID = 100
	// NoticeConfigRefused: a published configuration was based on an old revision.
	NoticeConfigRefused NoticeID = 101
	// NoticeKeyWithdrawn: a key ended.
	NoticeKeyWithdrawn NoticeID = 102
	// NoticeFoldStopped: a record cannot be folded; the fold stands still.
	NoticeFoldStopped NoticeID = 103
	// NoticeSnapshotRefused: a snapshot cannot be used.
	NoticeSnapshotRefused NoticeID = 104
	// NoticeNotEncoded: a record cannot be encoded and was dropped.
	NoticeNotEncoded NoticeID = 105
	// NoticeDiverged: another node folded the same records to another state.
	NoticeDiverged NoticeID = 106
	// NoticeTasksStopped: the tasks cannot go on from what the log has.
	NoticeTasksStopped NoticeID = 500
	// NoticeWorkerAside: a worker gets no more tasks for now.
	NoticeWorkerAside NoticeID = 501
	// NoticeNodeSuspect: an entry node is suspected to have failed.
	NoticeNodeSuspect NoticeID = 400
	// NoticeNodeBack: a suspected entry node answers again.
	NoticeNodeBack NoticeID = 401
	// NoticeZoneLost: all entry nodes of a zone are silent.
	NoticeZoneLost NoticeID = 402
	// NoticeLogDown: the log service does not answer.
	NoticeLogDown NoticeID = 110
	// NoticeLogUp: the log service answers again.
	NoticeLogUp NoticeID = 111
	// NoticeVMLeaving: an upstream said that it is leaving.
	NoticeVMLeaving NoticeID = 200
	// NoticeVMSilent: connections to an upstream went silent.
	NoticeVMSilent NoticeID = 201
	// NoticeStopping: a graceful stop began.
	NoticeStopping NoticeID = 300
)

// noticeText describes a notice for the log.
type noticeText struct {
	text  string
	grave bool
}

var noticeTexts = map[NoticeID]noticeText{
	NoticeConfigInForce:   {text: "configuration in force"},
	NoticeConfigRefused:   {text: "configuration refused", grave: true},
	NoticeKeyWithdrawn:    {text: "key withdrawn"},
	NoticeFoldStopped:     {text: "log record cannot be folded", grave: true},
	NoticeSnapshotRefused: {text: "snapshot refused", grave: true},
	NoticeNotEncoded:      {text: "record cannot be encoded", grave: true},
	NoticeDiverged:        {text: "shared state differs", grave: true},
	NoticeTasksStopped:    {text: "tasks stopped", grave: true},
	NoticeWorkerAside:     {text: "worker set aside", grave: true},
	NoticeNodeSuspect:     {text: "node suspect", grave: true},
	NoticeNodeBack:        {text: "node back"},
	NoticeZoneLost:        {text: "zone silent", grave: true},
	NoticeLogDown:         {text: "log service down", grave: true},
	NoticeLogUp:           {text: "log service up"},
	NoticeVMLeaving:       {text: "VM leaving"},
	NoticeVMSilent:        {text: "VM silent", grave: true},
	NoticeStopping:        {text: "graceful stop begun"},
}

// String returns the event's text.
func (id NoticeID) String() string {
	return noticeTexts[id].text
}

// Grave reports whether an operator should look at the event.
func (id NoticeID) Grave() bool {
	return noticeTexts[id].grave
}

// Notices returns all events of the catalogue with their texts.
func Notices() map[NoticeID]string {
	out := make(map[NoticeID]string, len(noticeTexts))
	for id, t := range noticeTexts {
		out[id] = t.text
	}
	return out
}
