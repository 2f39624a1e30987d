package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// maxTaskBytes bounds the document that hands in a task.
const maxTaskBytes = 256 << 10

// taskDocument is the body of POST /v1/{queue}/tasks.
type taskDocument struct {
	// Path is what the task asks of the service.
	Path string `json:"path"`
	// IdempotencyKey is the caller's own name for the task: handing it in again
	// under the same name gives the same task.
	IdempotencyKey string          `json:"idempotency_key"`
	Size           record.TaskSize `json:"size"`
	RunTime        spec.Duration   `json:"run_time"`
	// Checkpoints means that the task can be saved and continued elsewhere.
	Checkpoints bool            `json:"checkpoints"`
	Body        json.RawMessage `json:"body"`
}

// submitTask hands in a task. It answers 202 once the log has it.
func (c *Callers) submitTask(ec *echo.Context) error {
	w, r := ec.Response(), ec.Request()
	doc, err := readTask(r)
	if err != nil {
		writeProblem(w, core.Problem{Code: codeBadTask, Outcome: vocab.OutcomeNotRun, Detail: err.Error()})
		return nil
	}
	key, hash := credentials(r)
	answer, err := c.node.CallTasks(r.Context(), func(id vocab.RequestID) core.TaskCall {
		return core.TaskSubmitted{
			Request:    id,
			Queue:      vocab.QueueID(ec.Param("queue")),
			Key:        key,
			SecretHash: hash,
			Path:       doc.Path,
			Timeout:    callerPatience(r),
			Task: record.TaskAccepted{
				Task:           vocab.TaskID(uuid.NewString()),
				IdempotencyKey: doc.IdempotencyKey,
				Checkpoints:    doc.Checkpoints,
				Size:           doc.Size,
				RunTime:        doc.RunTime,
				Body:           doc.Body,
			},
		}
	})
	return c.answerTask(ec, answer, err)
}

// askTask says how a task stands; with ?wait=TIME it waits for the task's end.
func (c *Callers) askTask(ec *echo.Context) error {
	wait, _ := time.ParseDuration(ec.QueryParam("wait"))
	return c.callTask(ec, core.TaskQueried{Timeout: wait})
}

// cancelTask ends a task.
func (c *Callers) cancelTask(ec *echo.Context) error {
	return c.callTask(ec, core.TaskQueried{Cancel: true})
}

func (c *Callers) callTask(ec *echo.Context, asked core.TaskQueried) error {
	asked.Task = vocab.TaskID(ec.Param("task"))
	asked.Key, asked.SecretHash = credentials(ec.Request())
	answer, err := c.node.CallTasks(ec.Request().Context(), func(id vocab.RequestID) core.TaskCall {
		asked.Request = id
		return asked
	})
	return c.answerTask(ec, answer, err)
}

func (c *Callers) answerTask(ec *echo.Context, answer core.TaskResponse, err error) error {
	if err != nil {
		writeProblem(ec.Response(), unknownTask())
		return nil
	}
	if answer.Problem != nil {
		writeProblem(ec.Response(), *answer.Problem)
		return nil
	}
	status := http.StatusOK
	if answer.Accepted {
		status = http.StatusAccepted
	}
	return ec.JSON(status, answer.Task)
}

// readTask reads and checks the document that hands in a task.
func readTask(r *http.Request) (taskDocument, error) {
	var doc taskDocument
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTaskBytes+1))
	if err != nil {
		return doc, errors.New("the body ended before its declared length")
	}
	if len(body) > maxTaskBytes {
		return doc, errors.Newf("the document is larger than %d bytes", maxTaskBytes)
	}
	if err := json.Unmarshal(body, &doc); err != nil {
		return doc, errors.Wrap(err, `write a document such as {"path": "/reconcile", "size": {"milli_cpu": 1000, "memory_bytes": 1073741824}, "run_time": "10m"}`)
	}
	return doc, checkTask(doc)
}

func checkTask(doc taskDocument) error {
	switch {
	case doc.Path == "" || doc.Path[0] != '/':
		return errors.New(`"path" must begin with "/"`)
	case doc.Size.MilliCPU <= 0 || doc.Size.MemoryBytes <= 0:
		return errors.New(`"size" needs "milli_cpu" and "memory_bytes" above 0`)
	case doc.Size.Accelerators < 0:
		return errors.New(`"accelerators" must not be below 0`)
	case doc.RunTime <= 0:
		return errors.New(`"run_time" must be a duration above 0 such as "10m"`)
	}
	return nil
}

func unknownTask() core.Problem {
	return core.Problem{
		Code:    core.CodeTaskUnknown,
		Outcome: vocab.OutcomeUnknown,
		Detail:  "this entry node has stopped; ask another one, or hand the task in again under the same idempotency key",
	}
}
