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
