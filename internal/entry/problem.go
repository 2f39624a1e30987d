package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/bodylimit"
	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/forward"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// problemDocument is the body of an error response that sardinehead creates
// itself, in the format of RFC 9457.
type problemDocument struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// statusByCode maps problem codes to HTTP statuses. Codes that are not listed map
// to 503 Service Unavailable.
var statusByCode = map[core.Code]int{
	core.CodeNoQueue:        http.StatusNotFound,
	core.CodeKeyMissing:     http.StatusUnauthorized,
	core.CodeKeyRefused:     http.StatusUnauthorized,
	core.CodeTeamRefused:    http.StatusForbidden,
	core.CodeBodyTooLarge:   http.StatusRequestEntityTooLarge,
	core.CodeQueueFull:      http.StatusTooManyRequests,
	core.CodeTeamQueueFull:  http.StatusTooManyRequests,
	core.CodeUpstreamFailed: http.StatusBadGateway,
	core.CodeNoTask:         http.StatusNotFound,
	core.CodeTaskUnknown:    http.StatusGatewayTimeout,
	codeBadTask:             http.StatusBadRequest,
	codeBodyTruncated:       http.StatusBadRequest,
}

// codeBadTask: the submitted task document is invalid.
const codeBadTask core.Code = "bad-task"

// codeBodyTruncated: the body ended before its declared length.
const codeBodyTruncated core.Code = "body-cut"

// codeBodiesBusy: too many bodies are being received.
const codeBodiesBusy core.Code = "bodies-busy"

// bodiesRetryAfter is the value of Retry-After of a request that is refused with codeBodiesBusy.
const bodiesRetryAfter = time.Second

// bodyProblem returns the problem for a request whose body could not be read.
func bodyProblem(err error) core.Problem {
	if errors.Is(err, bodylimit.ErrBusy) {
		return core.Problem{Code: codeBodiesBusy, Outcome: vocab.OutcomeNotRun, RetryAfter: bodiesRetryAfter, Detail: err.Error()}
	}
	return core.Problem{Code: codeBodyTruncated, Outcome: vocab.OutcomeNotRun, Detail: "the body ended before its declared length"}
}

// nodeStoppedProblem returns the problem for a request that the node could not
// decide on because it stopped.
func nodeStoppedProblem() core.Problem {
	return core.Problem{Code: core.CodeStopping, Outcome: vocab.OutcomeNotRun, Detail: "this entry node has stopped"}
}

// writeProblem sends an error response.
func writeProblem(w http.ResponseWriter, p core.Problem) {
	status, ok := statusByCode[p.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(forward.HeaderOutcome, p.Outcome.String())
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problemDocument{
		Type:    "about:blank",
		Title:   string(p.Code),
		Status:  status,
		Detail:  p.Detail,
		Code:    string(p.Code),
		Outcome: p.Outcome.String(),
	})
}
