package publish

import "github.com/cockroachdb/errors"

var (
	// ErrLogDown means that the log was unavailable before anything was appended.
	// Nothing was changed.
	ErrLogDown = errors.New("the log service is unavailable; nothing was changed")
	// ErrUnknown means that a record was sent to the log, and the context ended
	// before it was known whether the record was appended.
	ErrUnknown = errors.New("the log service is unavailable; it is unknown whether the change was made")
	// ErrRejected means that the log service rejected the call as malformed or
	// forbidden. Nothing was changed.
	ErrRejected = errors.New("the log service rejected the call; nothing was changed")
	// ErrHistoryGone means that the log no longer has the records that are needed
	// to fold the current state.
	ErrHistoryGone = errors.New("the log no longer has the start of the stream")
	// ErrNewerRecords means that the stream contains records of a later version of
	// this program. Nothing was changed, unless the error is ErrUnknown as well.
	ErrNewerRecords = errors.New("the stream contains records that this version cannot read")
	// ErrNoTeam means that a key was requested for a team that is not part of the
	// configuration in force.
	ErrNoTeam = errors.New("there is no such team")
	// ErrNoKey means that no record on the stream names a key with that ID.
	ErrNoKey = errors.New("there is no such key")
	// ErrWithdrawn means that a new key was withdrawn before GiveKey returned it.
	ErrWithdrawn = errors.New("the key is withdrawn")
)
