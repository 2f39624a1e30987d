package core

// LogEventID is the number of an event in the process's log. The events are
// documented in docs/LOG-EVENTS.md. Numbers are never reused.
type LogEventID int

const (
	// LogEventConfigInForce: a new configuration is in force.
	LogEventConfigInForce LogEventID = 100
	// LogEventConfigRefused: a published configuration is based on an old
	// revision.
	LogEventConfigRefused LogEventID = 101
	// LogEventKeyWithdrawn: a key is withdrawn.
	LogEventKeyWithdrawn LogEventID = 102
	// LogEventFoldStopped: a record cannot be folded, and no later one will be.
	LogEventFoldStopped LogEventID = 103
	// LogEventSnapshotRefused: a snapshot cannot be written or installed.
	LogEventSnapshotRefused LogEventID = 104
	// LogEventRecordNotEncoded: a record cannot be encoded and is dropped.
	LogEventRecordNotEncoded LogEventID = 105
	// LogEventStateDiverged: another node folded the same records to a different state.
	LogEventStateDiverged LogEventID = 106
	// LogEventTasksStopped: task records are missing from the log or unreadable,
	// and tasks are refused.
	LogEventTasksStopped LogEventID = 500
	// LogEventWorkerQuarantined: a worker is quarantined and gets only probe
	// tasks.
	LogEventWorkerQuarantined LogEventID = 501
	// LogEventNodeSuspected: an entry node is suspected to have failed.
	LogEventNodeSuspected LogEventID = 400
	// LogEventNodeReachable: a suspected entry node sends heartbeats again.
	LogEventNodeReachable LogEventID = 401
	// LogEventZoneLost: no entry node of an availability zone sends heartbeats.
	LogEventZoneLost LogEventID = 402
	// LogEventLogDown: the log service does not answer.
	LogEventLogDown LogEventID = 110
	// LogEventLogUp: the log service answers again.
	LogEventLogUp LogEventID = 111
	// LogEventVMLeaving: an upstream reports that it is leaving.
	LogEventVMLeaving LogEventID = 200
	// LogEventVMSilent: an upstream sent no first byte of a response in time.
	LogEventVMSilent LogEventID = 201
	// LogEventStopping: a step of a graceful stop started.
	LogEventStopping LogEventID = 300
)

// logEventText is the text of a log event, and whether an operator has to look
// at it.
type logEventText struct {
	text           string
	needsAttention bool
}

var logEventTexts = map[LogEventID]logEventText{
	LogEventConfigInForce:     {text: "configuration in force"},
	LogEventConfigRefused:     {text: "configuration refused", needsAttention: true},
	LogEventKeyWithdrawn:      {text: "key withdrawn"},
	LogEventFoldStopped:       {text: "log record cannot be folded", needsAttention: true},
	LogEventSnapshotRefused:   {text: "snapshot refused", needsAttention: true},
	LogEventRecordNotEncoded:  {text: "record cannot be encoded", needsAttention: true},
	LogEventStateDiverged:     {text: "shared state differs", needsAttention: true},
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
func (id LogEventID) String() string {
	return logEventTexts[id].text
}

// NeedsAttention reports whether the event needs the attention of an operator.
func (id LogEventID) NeedsAttention() bool {
	return logEventTexts[id].needsAttention
}

// LogEvents returns the texts of all log events.
func LogEvents() map[LogEventID]string {
	out := make(map[LogEventID]string, len(logEventTexts))
	for id, t := range logEventTexts {
		out[id] = t.text
	}
	return out
}
