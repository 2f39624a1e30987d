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

// TaskStream is the stream of the platform's log with the records of all tasks.
const TaskStream vocab.StreamID = "tasks"

const (
	// assumedTaskNodes is the number of nodes assumed when the fleet's budget of
	// appends is divided among the nodes.
	assumedTaskNodes = 8
	// taskResultRetention is the time for which the result of a task is available after
	// its end.
	taskResultRetention = 24 * time.Hour
	// orphanedTaskTimeout is the time for which a worker runs a task whose
	// owner is lost and has no successor: the task's lease plus a guard time.
	orphanedTaskTimeout = 35 * time.Second
	// minTaskLogRetention is the minimum time for which the log keeps records.
	minTaskLogRetention = 24 * time.Hour
)

// TaskSubmitted reports a task submitted by a caller.
type TaskSubmitted struct {
	Request vocab.RequestID
	Queue   vocab.QueueID
	Key     vocab.KeyID
	// SecretHash is the SHA-256 hash of the secret in the request.
	SecretHash []byte
	// Path is the path of the task's request. The service's request rule for a
	// POST to it determines whether the task is idempotent and urgent.
	Path string
	// Task has the caller's declarations and a random ID. The reducer sets its
	// queue, team, and whether it is idempotent and urgent.
	Task record.TaskAccepted
	// Timeout is the time for which the caller waits for a response; 0 if it
	// did not specify a timeout.
	Timeout time.Duration
}

// TaskQueried reports a caller's query about a task, a wait for its end or a
// cancellation.
type TaskQueried struct {
	Request    vocab.RequestID
	Key        vocab.KeyID
	SecretHash []byte
	Task       vocab.TaskID
	// Cancel requests the cancellation of the task.
	Cancel bool
	// Timeout is the time for which the caller waits for the task's end. With 0
	// the current state is returned at once.
	Timeout time.Duration
}

// TaskCall is a TaskSubmitted or a TaskQueried.
type TaskCall interface {
	event.Event
	isTaskCall()
}

func (TaskSubmitted) isTaskCall() {}

func (TaskQueried) isTaskCall() {}

// TaskResponse responds to a TaskSubmitted or TaskQueried.
type TaskResponse struct {
	Request vocab.RequestID
	// Problem is set if the call was refused or its outcome is not known.
	Problem *Problem
	// Accepted is set if the task or the cancellation is on the log.
	Accepted bool
	// Task is the current state of the task. For a task that was just accepted
	// only the ID is set.
	Task TaskView
}

// TaskView is the state of a task as shown to its caller.
type TaskView struct {
	Task    vocab.TaskID      `json:"task,omitempty"`
	Queue   vocab.QueueID     `json:"queue,omitempty"`
	State   task.State        `json:"state,omitempty"`
	Attempt record.Attempt    `json:"attempt,omitempty"`
	Reason  string            `json:"reason,omitempty"`
	Result  record.TaskResult `json:"result,omitempty"`
	Output  []byte            `json:"output,omitempty"`
	// Cancellation is the result of a cancellation; empty in other responses.
	Cancellation CancellationResult `json:"cancellation,omitempty"`
}

// CancellationResult is the result of a cancellation request.
type CancellationResult string

const (
	// CancelledNotRun: the task was not started and will not be.
	CancelledNotRun CancellationResult = "not-run"
	// CancelledStopping: the task may have been started and is being stopped.
	CancelledStopping CancellationResult = "stopping"
	// CancelledAlreadyEnded: the task had already ended.
	CancelledAlreadyEnded CancellationResult = "over"
)

func cancellationResult(a task.AnswerCaller) CancellationResult {
	switch {
	case a.NotRun > 0:
		return CancelledNotRun
	case a.Stopping > 0:
		return CancelledStopping
	case a.Completed > 0:
		return CancelledAlreadyEnded
	default:
		return ""
	}
}

// IsEvent implements event.Event.
func (TaskSubmitted) IsEvent() {}

// IsEvent implements event.Event.
func (TaskQueried) IsEvent() {}

// IsEffect implements event.Effect.
func (TaskResponse) IsEffect() {}

// newTasks returns the controller of the task shard on this node.
func (s *State) newTasks() *task.Controller {
	return task.NewController(task.Settings{
		Shard:           TaskStream,
		Node:            s.self.Node,
		Incarnation:     s.self.Incarnation,
		AppendInterval:  task.AppendInterval(assumedTaskNodes, 1),
		ResultRetention: taskResultRetention,
		LogRetention:    minTaskLogRetention,
		MayOwn:          true,
		Account:         taskLimits{state: s, tokens: map[vocab.TeamID][]limit.Token{}},
		Weight:          s.taskWeight,
	})
}

func (s *State) taskWeight(team vocab.TeamID) int {
	if s.Shared().Fleet == nil {
		return 1
	}
	t, _ := s.Shared().Fleet.Team(team)
	return max(1, t.Share)
}

// taskLimits counts tasks against the same upper limits of the teams as
// requests. It implements placement.SlotAccount.
type taskLimits struct {
	state  *State
	tokens map[vocab.TeamID][]limit.Token
}

// TryAcquire implements placement.SlotAccount. Tasks use only the owner's own quota of a
// limit, never loans: when the owner is lost, a task continues under the next
// owner, so that a lender could not know how long the loan is in use.
func (a taskLimits) TryAcquire(team vocab.TeamID) bool {
	token, ok := a.state.limits.TakeFromOwnQuota(limit.TeamAccount(team))
	if ok {
		a.tokens[team] = append(a.tokens[team], token)
	}
	return ok
}

// AcquireOverLimit implements placement.SlotAccount. It counts a task that is
// already running even if the quota is used up.
func (a taskLimits) AcquireOverLimit(team vocab.TeamID) {
	a.tokens[team] = append(a.tokens[team], a.state.limits.AddRunning(limit.TeamAccount(team)))
}

// Release implements placement.SlotAccount.
func (a taskLimits) Release(team vocab.TeamID) {
	tokens := a.tokens[team]
	if len(tokens) == 0 {
		return
	}
	a.state.limits.Release(a.state.now, tokens[len(tokens)-1])
	a.tokens[team] = tokens[:len(tokens)-1]
}

// stepTasks passes an event to the task controller and emits the resulting
// effects.
func (s *State) stepTasks(e event.Event) {
	for _, effect := range s.tasks.Step(s.now, e) {
		switch typed := effect.(type) {
		case task.AnswerCaller:
			s.emit(s.taskResponse(typed))
		case task.ControllerFailed:
			s.logEvent(LogEventTasksStopped, string(TaskStream), typed.Err.Error())
		case task.WorkerQuarantined:
			s.logEvent(LogEventWorkerQuarantined, string(typed.Worker), typed.Reason)
		default:
			s.emit(effect)
		}
	}
}

// onTaskSubmitted submits a task to the task controller if the node may accept
// it.
func (s *State) onTaskSubmitted(e TaskSubmitted) {
	service, team, problem := s.admit(RequestArrived{
		Request:    e.Request,
		Queue:      e.Queue,
		Key:        e.Key,
		SecretHash: e.SecretHash,
		BodyBytes:  int64(len(e.Task.Body)),
	})
	if problem != nil {
		s.emit(TaskResponse{Request: e.Request, Problem: problem})
		return
	}
	rule := service.Rule("POST", e.Path)
	accepted := e.Task
	accepted.Queue = e.Queue
	accepted.Team = team
	accepted.Idempotent = rule.Idempotent
	accepted.Urgent = rule.Urgent
	s.stepTasks(task.SubmitRequested{
		Request:  e.Request,
		Task:     accepted,
		Deadline: s.now.Add(queueTimeout(service, e.Timeout)),
	})
}

// maxTaskWait is the maximum time that one call waits for a task.
const maxTaskWait = time.Minute

// onTaskQueried handles a query, wait or cancellation of a task of the key's
// team.
func (s *State) onTaskQueried(e TaskQueried) {
	t, problem := s.authorizedTask(e)
	if problem != nil {
		s.emit(TaskResponse{Request: e.Request, Problem: problem})
		return
	}
	deadline := s.now.Add(min(e.Timeout, maxTaskWait))
	switch {
	case e.Cancel:
		s.stepTasks(task.CancelRequested{Request: e.Request, Tasks: []vocab.TaskID{e.Task}, Deadline: s.now.Add(maxTaskWait)})
	case e.Timeout > 0 && t.State != task.Ended:
		s.stepTasks(task.WaitRequested{Request: e.Request, Task: e.Task, Deadline: deadline})
	default:
		s.emit(TaskResponse{Request: e.Request, Task: newTaskView(t)})
	}
}

// authorizedTask returns the task if the key's team submitted it. For a task of
// another team it returns the same problem as for one that does not exist.
func (s *State) authorizedTask(e TaskQueried) (*task.Task, *Problem) {
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

func newTaskView(t *task.Task) TaskView {
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

// taskResponse converts an answer of the task controller to the response for
// the caller.
func (s *State) taskResponse(a task.AnswerCaller) TaskResponse {
	out := TaskResponse{Request: a.Request, Task: TaskView{Task: a.Task}}
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
		out.Task.Cancellation = cancellationResult(a)
	default:
		if ledger := s.tasks.Ledger(); ledger != nil {
			if t, ok := ledger.Task(a.Task); ok {
				out.Task = newTaskView(t)
			}
		}
	}
	return out
}

// OwnsTasks reports whether this node places and supervises the tasks.
func (s *State) OwnsTasks() bool {
	return s.tasks.Status().Owns
}
