package core

// NoticeID is the number of an event in the process's log. The events are
// documented in docs/LOG-EVENTS.md. Numbers are never reused.
type NoticeID int

const (
	// LogEventConfigInForce: a new configuration is in force.
	LogEventConfigInForce NoticeID = 100
	// LogEventConfigRefused: a published configuration is based on an old
	// revision.
	LogEventConfigRefused NoticeID = 101
	// LogEventKeyWithdrawn: a key is withdrawn.
	LogEventKeyWithdrawn NoticeID = 102
	// NoticeFoldStopped: a record cannot be folded, and no later one will be.
	NoticeFoldStopped NoticeID = 103
	// LogEventSnapshotRefused: a snapshot cannot be written or installed.
	LogEventSnapshotRefused NoticeID = 104
	// NoticeNotEncoded: a record cannot be encoded and is dropped.
	NoticeNotEncoded NoticeID = 105
	// NoticeDiverged: another node folded the same records to a different state.
	NoticeDiverged NoticeID = 106
	// LogEventTasksStopped: task records are missing from the log or unreadable,
	// and tasks are refused.
	LogEventTasksStopped NoticeID = 500
	// LogEventWorkerQuarantined: a worker is quarantined and gets only probe
	// tasks.
	LogEventWorkerQuarantined NoticeID = 501
	// LogEventNodeSuspected: an entry node is suspected to have failed.
	LogEventNodeSuspected NoticeID = 400
	// LogEventNodeReachable: a suspected entry node sends heartbeats again.
	LogEventNodeReachable NoticeID = 401
	// LogEventZoneLost: no entry node of an availability zone sends heartbeats.
	LogEventZoneLost NoticeID = 402
	// LogEventLogDown: the log service does not answer.
	LogEventLogDown NoticeID = 110
	// LogEventLogUp: the log service answers again.
	LogEventLogUp NoticeID = 111
	// LogEventVMLeaving: an upstream reports that it is leaving.
	LogEventVMLeaving NoticeID = 200
	// LogEventVMSilent: an upstream sent no first byte of a response in time.
	LogEventVMSilent NoticeID = 201
	// LogEventStopping: a step of a graceful stop started.
	LogEventStopping NoticeID = 300
)

// logEventText is the text of a log event, and whether an operator has to look
// at it.
type logEventText struct {
	text           string
	needsAttention bool
}

var logEventTexts = map[NoticeID]logEventText{
	LogEventConfigInForce:     {text: "configuration in force"},
	LogEventConfigRefused:     {text: "configuration refused", needsAttention: true},
	LogEventKeyWithdrawn:      {text: "key withdrawn"},
	NoticeFoldStopped:         {text: "log record cannot be folded", needsAttention: true},
	LogEventSnapshotRefused:   {text: "snapshot refused", needsAttention: true},
	NoticeNotEncoded:          {text: "record cannot be encoded", needsAttention: true},
	NoticeDiverged:            {text: "shared state differs", needsAttention: true},
	LogEventTasksStopped:      {text: "tasks stopped", needsAttention: true},
	LogEventWorkerQuarantined: {text: "worker quarantined", needsAttention: true},
	LogEventNodeSuspected:     {text: "node suspect", needsAttention: true},
	LogEventNodeReachable:     {text: "node reachable again"},
	LogEventZoneLost:          {text: "zone silent", needsAttention: true},
	LogEventLogDown:           {text: "log service down", needsAttention: true},
	LogEventLogUp:             {text: "log service up"},
	LogEventVMLeaving:         {text: "VM leaving"},
	LogEventVMSilent:          {text: "VM silent", needsAttention: true},
	LogEventStopping:          {text: "graceful stop begun"},
}

// String returns the event's text.
func (id NoticeID) String() string {
	return logEventTexts[id].text
}

// Grave reports whether the event needs the attention of an operator.
func (id NoticeID) Grave() bool {
	return logEventTexts[id].needsAttention
}

// Notices returns the texts of all log events.
func Notices() map[NoticeID]string {
	out := make(map[NoticeID]string, len(logEventTexts))
	for id, t := range logEventTexts {
		out[id] = t.text
	}
	return out
}
