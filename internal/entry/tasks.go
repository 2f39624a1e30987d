package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"github.com/sardinehead/sardinehead/internal/bodylimit"
	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// maxTaskDocumentBytes bounds the size of a submitted task document.
const maxTaskDocumentBytes = 256 << 10

// taskDocument is the body of POST /v1/{queue}/tasks.
type taskDocument struct {
	// Path is the path of the task's request to the service.
	Path string `json:"path"`
	// IdempotencyKey identifies the task to the caller. Submitting a task again
	// with the same key returns the existing task.
	IdempotencyKey string          `json:"idempotency_key"`
	Size           record.TaskSize `json:"size"`
	RunTime        spec.Duration   `json:"run_time"`
	// Checkpoints is set if the task can be saved and continued on another worker.
	Checkpoints bool            `json:"checkpoints"`
	Body        json.RawMessage `json:"body"`
}

// submitTask submits a task. It responds with 202 once the task is on the log.
func (c *Callers) submitTask(ec *echo.Context) error {
	w, r := ec.Response(), ec.Request()
	doc, err := readTaskDocument(r)
	if errors.Is(err, bodylimit.ErrBusy) {
		writeProblem(w, bodyProblem(err))
		return nil
	}
	if err != nil {
		writeProblem(w, core.Problem{Code: codeBadTask, Outcome: vocab.OutcomeNotRun, Detail: err.Error()})
		return nil
	}
	key, hash := credentials(r)
	response, err := c.node.CallTasks(r.Context(), func(id vocab.RequestID) core.TaskCall {
		return core.TaskSubmitted{
			Request:    id,
			Queue:      vocab.QueueID(ec.Param("queue")),
			Key:        key,
			SecretHash: hash,
			Path:       doc.Path,
			Timeout:    callerTimeout(r),
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
	return c.writeTaskResponse(ec, response, err)
}

// getTask returns the state of a task. With ?wait=DURATION it first waits up to
// that long for the task's end.
func (c *Callers) getTask(ec *echo.Context) error {
	wait, _ := time.ParseDuration(ec.QueryParam("wait"))
	return c.queryTask(ec, core.TaskQueried{Timeout: wait})
}

// cancelTask cancels a task.
func (c *Callers) cancelTask(ec *echo.Context) error {
	return c.queryTask(ec, core.TaskQueried{Cancel: true})
}

// queryTask completes the query from the request, passes it to the node and
// writes the response.
func (c *Callers) queryTask(ec *echo.Context, query core.TaskQueried) error {
	query.Task = vocab.TaskID(ec.Param("task"))
	query.Key, query.SecretHash = credentials(ec.Request())
	response, err := c.node.CallTasks(ec.Request().Context(), func(id vocab.RequestID) core.TaskCall {
		query.Request = id
		return query
	})
	return c.writeTaskResponse(ec, response, err)
}

// writeTaskResponse sends the response to a task call. An err means that the node
// stopped or the caller disconnected before there was a response.
func (c *Callers) writeTaskResponse(ec *echo.Context, response core.TaskResponse, err error) error {
	if err != nil {
		writeProblem(ec.Response(), taskUnknownProblem())
		return nil
	}
	if response.Problem != nil {
		writeProblem(ec.Response(), *response.Problem)
		return nil
	}
	status := http.StatusOK
	if response.Accepted {
		status = http.StatusAccepted
	}
	return ec.JSON(status, response.Task)
}

// readTaskDocument reads and validates a submitted task document.
func readTaskDocument(r *http.Request) (taskDocument, error) {
	var doc taskDocument
	bodylimit.Keep(r)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTaskDocumentBytes+1))
	if errors.Is(err, bodylimit.ErrBusy) {
		return doc, err
	}
	if err != nil {
		return doc, errors.New("the body ended before its declared length")
	}
	if len(body) > maxTaskDocumentBytes {
		return doc, errors.Newf("the document is larger than %d bytes", maxTaskDocumentBytes)
	}
	if err := json.Unmarshal(body, &doc); err != nil {
		return doc, errors.Wrap(err, `write a document such as {"path": "/reconcile", "size": {"milli_cpu": 1000, "memory_bytes": 1073741824}, "run_time": "10m"}`)
	}
	return doc, checkTaskDocument(doc)
}

// checkTaskDocument validates the fields of a task document.
func checkTaskDocument(doc taskDocument) error {
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

// taskUnknownProblem returns the problem for a task call whose outcome is unknown
// because the node stopped before it responded.
func taskUnknownProblem() core.Problem {
	return core.Problem{
		Code:    core.CodeTaskUnknown,
		Outcome: vocab.OutcomeUnknown,
		Detail:  "this entry node has stopped; ask another one, or hand the task in again under the same idempotency key",
	}
}
