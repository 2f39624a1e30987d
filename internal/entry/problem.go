package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/forward"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// problemDocument is the body of an answer made by sardinehead, after RFC 9457.
type problemDocument struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// statusOf maps codes to HTTP statuses; codes that are not listed give 503.
var statusOf = map[core.Code]int{
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
	codeBadBody:             http.StatusBadRequest,
}

// codeBadTask: the document that hands in a task is not usable.
const codeBadTask core.Code = "bad-task"

// codeBadBody: the body ended before its declared length.
const codeBadBody core.Code = "body-cut"

func badBody() core.Problem {
	return core.Problem{Code: codeBadBody, Outcome: vocab.OutcomeNotRun, Detail: "the body ended before its declared length"}
}

func stopped() core.Problem {
	return core.Problem{Code: core.CodeStopping, Outcome: vocab.OutcomeNotRun, Detail: "this entry node has stopped"}
}

func writeProblem(w http.ResponseWriter, p core.Problem) {
	status, ok := statusOf[p.Code]
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
