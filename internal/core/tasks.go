package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/task"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TaskStream is the stream of the platform's log that keeps the tasks.
const TaskStream vocab.StreamID = "tasks"

const (
	// taskNodes is the number of nodes that the budget of appends is made for.
	taskNodes = 8
	// taskResultKeep is how long the result of a task is known after its end.
	taskResultKeep = 24 * time.Hour
	// taskOrphanTime is the longest time that a worker goes on with a task whose
	// owner is lost and has no successor: its lease and the guard.
	taskOrphanTime = 35 * time.Second
	// taskLogRetention is the least time for which the log keeps records.
	taskLogRetention = 24 * time.Hour
)

// TaskArrived is a task that a caller hands in.
type TaskArrived struct {
	Request vocab.RequestID
	Queue   vocab.QueueID
	Key     vocab.KeyID
	// SecretHash is the SHA-256 of the secret that came with the key.
	SecretHash []byte
	// Path is what the task asks of the service; the service's request rules
	// for POST say whether it is idempotent and urgent.
	Path string
	// Task holds what the caller declared. Its ID was drawn at random; queue,
	// team and rules are filled in here.
	Task record.TaskAccepted
	// Patience is how long the caller waits for an answer.
	Patience time.Duration
}

// TaskAsked is a caller's question about its task, or its cancellation.
type TaskAsked struct {
	Request    vocab.RequestID
	Key        vocab.KeyID
	SecretHash []byte
	Task       vocab.TaskID
	// Cancel asks for the task's end.
	Cancel bool
	// Patience is how long the caller waits for the task's end; with 0 it asks
	// how the task stands.
	Patience time.Duration
}

// TaskCall is a TaskArrived or a TaskAsked.
type TaskCall interface {
	event.Event
	isTaskCall()
}

func (TaskArrived) isTaskCall() {}

func (TaskAsked) isTaskCall() {}

// TaskAnswer is the final answer to a TaskArrived or TaskAsked.
type TaskAnswer struct {
	Request vocab.RequestID
	// Problem is set if the call was refused or its outcome is not known.
	Problem *Problem
	// Accepted is set if the log has the task, or the cancellation.
	Accepted bool
	// Task is the task as it stands; only its ID is set when just accepted.
	Task TaskView
}

// TaskView is what a caller sees of its task.
type TaskView struct {
	Task    vocab.TaskID      `json:"task,omitempty"`
	Queue   vocab.QueueID     `json:"queue,omitempty"`
	State   task.State        `json:"state,omitempty"`
	Attempt record.Attempt    `json:"attempt,omitempty"`
	Reason  string            `json:"reason,omitempty"`
	Result  record.TaskResult `json:"result,omitempty"`
	Output  []byte            `json:"output,omitempty"`
	// Cancellation tells what a cancellation found.
	Cancellation Cancellation `json:"cancellation,omitempty"`
}

// Cancellation is what a cancellation found.
type Cancellation string

const (
	// CancelledNotRun: the task had not been started, and will not be.
	CancelledNotRun Cancellation = "not-run"
	// CancelledStopping: the task may have been started and is being stopped.
	CancelledStopping Cancellation = "stopping"
	// CancelledOver: the task had ended before.
	CancelledOver Cancellation = "over"
)

func cancellationOf(a task.AnswerCaller) Cancellation {
	switch {
	case a.NotRun > 0:
		return CancelledNotRun
	case a.Stopping > 0:
		return CancelledStopping
	case a.Over > 0:
		return CancelledOver
	default:
		return ""
	}
}

// IsEvent implements event.Event.
func (TaskArrived) IsEvent() {}

// IsEvent implements event.Event.
func (TaskAsked) IsEvent() {}

// IsEffect implements event.Effect.
func (TaskAnswer) IsEffect() {}

// newTasks returns this node's part in the shard of tasks.
func (s *State) newTasks() *task.Controller {
	return task.NewController(task.Settings{
		Shard:        TaskStream,
		Node:         s.self.Node,
		Incarnation:  s.self.Incarnation,
		AppendEvery:  task.AppendEvery(taskNodes, 1),
		ResultKeep:   taskResultKeep,
		LogRetention: taskLogRetention,
		MayOwn:       true,
		Account:      taskAccount{state: s, tokens: map[vocab.TeamID][]limit.Token{}},
		Weight:       s.taskWeight,
	})
}

func (s *State) taskWeight(team vocab.TeamID) int {
	if s.Shared().Fleet == nil {
		return 1
	}
	t, _ := s.Shared().Fleet.Team(team)
	return max(1, t.Share)
}

// taskAccount counts tasks against the same upper limits as requests.
type taskAccount struct {
	state  *State
	tokens map[vocab.TeamID][]limit.Token
}

// Take implements placement.Account. Tasks run on the owner's own part of a
// limit, never on loans: a task goes on under the next owner when its owner is
// lost, and the giver of a loan could not know how long to wait.
func (a taskAccount) Take(team vocab.TeamID) bool {
	token, ok := a.state.limits.TakeOwn(limit.TeamAccount(team))
	if ok {
		a.tokens[team] = append(a.tokens[team], token)
	}
	return ok
}

// Adopt implements placement.Account.
func (a taskAccount) Adopt(team vocab.TeamID) {
	a.tokens[team] = append(a.tokens[team], a.state.limits.Adopt(limit.TeamAccount(team)))
}

// Release implements placement.Account.
func (a taskAccount) Release(team vocab.TeamID) {
	held := a.tokens[team]
	if len(held) == 0 {
		return
	}
	a.state.limits.Release(a.state.now, held[len(held)-1])
	a.tokens[team] = held[:len(held)-1]
}

// stepTasks passes an event to the tasks.
func (s *State) stepTasks(e event.Event) {
	for _, effect := range s.tasks.Step(s.now, e) {
		switch answer := effect.(type) {
		case task.AnswerCaller:
			s.emit(s.taskAnswer(answer))
		case task.GaveUp:
			s.notice(NoticeTasksStopped, string(TaskStream), answer.Err.Error())
		case task.SetAside:
			s.notice(NoticeWorkerAside, string(answer.Worker), answer.Reason)
		default:
			s.emit(effect)
		}
	}
}

// onTaskArrived takes a task in if its key and queue allow.
func (s *State) onTaskArrived(e TaskArrived) {
	service, team, problem := s.admit(RequestArrived{
		Request:    e.Request,
		Queue:      e.Queue,
		Key:        e.Key,
		SecretHash: e.SecretHash,
		BodyBytes:  int64(len(e.Task.Body)),
	})
	if problem != nil {
		s.emit(TaskAnswer{Request: e.Request, Problem: problem})
		return
	}
	rule := service.Rule("POST", e.Path)
	accepted := e.Task
	accepted.Queue = e.Queue
	accepted.Team = team
	accepted.Idempotent = rule.Idempotent
	accepted.Urgent = rule.Urgent
	s.stepTasks(task.Submitted{
		Request:  e.Request,
		Task:     accepted,
		Deadline: s.now.Add(patience(service, e.Patience)),
	})
}

// longestWait bounds how long a caller may wait for a task in one call.
const longestWait = time.Minute

// onTaskAsked answers a question about a task of the key's own team.
func (s *State) onTaskAsked(e TaskAsked) {
	t, problem := s.taskOf(e)
	if problem != nil {
		s.emit(TaskAnswer{Request: e.Request, Problem: problem})
		return
	}
	deadline := s.now.Add(min(e.Patience, longestWait))
	switch {
	case e.Cancel:
		s.stepTasks(task.CancelRequested{Request: e.Request, Tasks: []vocab.TaskID{e.Task}, Deadline: s.now.Add(longestWait)})
	case e.Patience > 0 && t.State != task.Ended:
		s.stepTasks(task.WaitRequested{Request: e.Request, Task: e.Task, Deadline: deadline})
	default:
		s.emit(TaskAnswer{Request: e.Request, Task: viewOf(t)})
	}
}

// taskOf returns the task if the key's team handed it in. Tasks of others and
// tasks that never were look the same to a caller.
func (s *State) taskOf(e TaskAsked) (*task.Task, *Problem) {
	open := &spec.Service{Open: true}
	team, problem := s.authorize(open, RequestArrived{Key: e.Key, SecretHash: e.SecretHash})
	if problem != nil {
		return nil, problem
	}
	ledger := s.tasks.Ledger()
	if ledger == nil {
		p := notRun(CodeTasksUnread, retryAfterOutage, "this entry node has not read the tasks yet")
		return nil, &p
	}
	t, ok := ledger.Task(e.Task)
	if !ok || t.Team != team {
		p := notRun(CodeNoTask, 0, "no task of this team has that name")
		return nil, &p
	}
	return t, nil
}

func viewOf(t *task.Task) TaskView {
	return TaskView{
		Task:    t.Task,
		Queue:   t.Queue,
		State:   t.State,
		Attempt: t.Attempt,
		Reason:  t.Reason,
		Result:  t.Result,
		Output:  t.Output,
	}
}

// taskAnswer turns the tasks' answer into the caller's.
func (s *State) taskAnswer(a task.AnswerCaller) TaskAnswer {
	out := TaskAnswer{Request: a.Request, Task: TaskView{Task: a.Task}}
	switch a.Code {
	case task.CallRefused:
		p := notRun(CodeTaskRefused, retryAfterOutage, a.Reason)
		out.Problem = &p
	case task.CallUnknown:
		out.Problem = &Problem{
			Code:       CodeTaskUnknown,
			Outcome:    vocab.OutcomeUnknown,
			RetryAfter: retryAfterOutage,
			Detail:     a.Reason,
		}
	case task.CallAccepted:
		out.Accepted = true
	case task.CallCancelled:
		out.Accepted = true
		out.Task.Cancellation = cancellationOf(a)
	default:
		if ledger := s.tasks.Ledger(); ledger != nil {
			if t, ok := ledger.Task(a.Task); ok {
				out.Task = viewOf(t)
			}
		}
	}
	return out
}

// OwnsTasks reports whether this node places and supervises the tasks.
func (s *State) OwnsTasks() bool {
	return s.tasks.Status().Owns
}
