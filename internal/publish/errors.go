package publish

import "github.com/cockroachdb/errors"

var (
	// ErrLogDown means that the log gave no answer before anything was
	// appended. Nothing was changed.
	ErrLogDown = errors.New("the log service gives no answer; nothing was changed")
	// ErrUnknown means that a record was handed to the log and that whether it
	// was taken could not be learned in the given time.
	ErrUnknown = errors.New("the log service gives no answer; whether the change was taken is unknown")
	// ErrRejected means that the log service refused the call as malformed or
	// forbidden. Nothing was changed.
	ErrRejected = errors.New("the log service rejected the call; nothing was changed")
	// ErrHistoryGone means that the log no longer keeps the records that the
	// state in force is folded from.
	ErrHistoryGone = errors.New("the log no longer keeps the start of the stream")
	// ErrNewerRecords means that the stream holds records of a later version
	// of this program. Unless it is ErrUnknown as well, nothing was changed.
	ErrNewerRecords = errors.New("the stream holds records that this version cannot read")
	// ErrNoTeam means that a key was asked for a team that is not in force.
	ErrNoTeam = errors.New("there is no such team")
	// ErrNoKey means that the stream knows no key of that ID.
	ErrNoKey = errors.New("there is no such key")
	// ErrWithdrawn means that a key was withdrawn before it could be used.
	ErrWithdrawn = errors.New("the key is withdrawn")
)
