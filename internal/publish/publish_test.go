package publish_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/publish"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/standin"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// faultyLog is a log whose appends can fail.
type faultyLog struct {
	*standin.Log
	// fault returns the fault of the next append: "request lost", "response lost",
	// "late" (it arrives after a later append), "late first" (late appends arrive
	// before it), "race" (race is called before it) or "none".
	fault func() string
	// late holds the records of the late appends.
	late [][]record.Envelope
	race func()
}

var errNoResponse = errors.Mark(errors.New("no response"), services.ErrUnavailable)

func (l *faultyLog) Append(ctx context.Context, s vocab.StreamID, records []record.Envelope) (vocab.Offset, error) {
	switch l.fault() {
	case "request lost":
		return 0, errNoResponse
	case "late":
		l.late = append(l.late, records)
		return 0, errNoResponse
	case "response lost":
		_, _ = l.Log.Append(ctx, s, records)
		return 0, errNoResponse
	case "race":
		l.race()
	case "late first":
		l.deliverLate(ctx, s)
	}
	offset, err := l.Log.Append(ctx, s, records)
	l.deliverLate(ctx, s)
	return offset, err
}

// deliverLate carries out the late appends.
func (l *faultyLog) deliverLate(ctx context.Context, s vocab.StreamID) {
	for _, records := range l.late {
		_, _ = l.Log.Append(ctx, s, records)
	}
	l.late = nil
}

// fleetWithLimit returns a fleet that is identified by its team's upper limit.
func fleetWithLimit(limit int) spec.Fleet {
	return spec.Fleet{Name: "f", Teams: []spec.Team{{Name: "kijiji", Share: 1, UpperLimit: vocab.Slots(limit)}}}
}

// TestOperationsUnderFaults checks that operations report their results correctly if
// requests or responses are lost, appends arrive late, or another operator appends
// first: an accepted configuration came into force once, a refused one never; a
// given key is active and a withdrawn one is not.
func TestOperationsUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, checkOperations)
	})
}

// checkOperations runs operations of two operators and compares their results with
// the stream.
func checkOperations(t *rapid.T) {
	ctx := context.Background()
	log := &faultyLog{Log: standin.NewLog()}
	other := publish.Client{Log: log.Log, Operator: "other"}
	client := publish.Client{Log: log, Operator: "self"}
	accepted, refused, limit := map[int]vocab.Revision{}, map[int]bool{}, 0
	apply := func(c publish.Client, meanwhile func()) {
		limit++
		own := limit
		plan, err := c.Plan(ctx, fleetWithLimit(own))
		meanwhile()
		result, err2 := c.Publish(ctx, plan)
		if err != nil || err2 != nil {
			t.Fatal(err, err2)
		}
		if result.Accepted {
			accepted[own] = result.Revision
			return
		}
		refused[own] = true
		if len(result.Since) == 0 || len(result.Others) == 0 || result.Others[0].Operator == "" {
			t.Fatalf("refused without the changes since the base: %+v", result)
		}
	}
	log.race = func() { apply(other, func() {}) }
	log.fault = func() string {
		return rapid.SampledFrom([]string{"none", "race", "response lost", "late", "late first", "request lost"}).Draw(t, "fault")
	}
	apply(other, func() {})
	for i := range rapid.IntRange(1, 5).Draw(t, "operations") {
		apply(client, func() {})
		key, err := client.GiveKey(ctx, "kijiji")
		if err != nil {
			t.Fatal(err)
		}
		if i%2 == 0 {
			err = client.WithdrawKey(ctx, key.ID, false)
		}
		log.deliverLate(ctx, shared.Stream)
		state, history := foldAll(t, log.Log)
		recorded, active := state.ActiveKey(key.ID)
		if err != nil || active == (i%2 == 0) || (active && !key.Matches(recorded.SecretHash)) {
			t.Fatalf("key %v: active %v, %v", key, active, err)
		}
		if fmt.Sprint(history) != fmt.Sprint(accepted) {
			t.Fatalf("came into force %v, reported to operators %v", history, accepted)
		}
	}
}

// foldAll folds the whole stream. It returns the state, and for each limit the
// revision with which it came into force, or 0 if that happened more than once.
func foldAll(t *rapid.T, log *standin.Log) (*shared.State, map[int]vocab.Revision) {
	state, history := shared.New(), map[int]vocab.Revision{}
	batch, err := log.Read(context.Background(), shared.Stream, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, rec := range batch.Records {
		change, err := state.Apply(rec)
		if err != nil {
			t.Fatal(err)
		}
		if !change.ConfigChanged {
			continue
		}
		limit := int(state.Fleet.Teams[0].UpperLimit)
		if _, repeated := history[limit]; repeated {
			history[limit] = 0
			continue
		}
		history[limit] = state.Revision
	}
	return state, history
}

// TestErrorByCause checks that each cause of a failed operation leads to its own
// error.
func TestErrorByCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewLog()
		client := publish.Client{Log: log}
		withTimeout := func() context.Context {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			t.Cleanup(cancel)
			return ctx
		}
		plan, err := client.Plan(withTimeout(), fleetWithLimit(1))
		if err != nil {
			t.Fatal(err)
		}
		log.SetFaults(standin.LogFaults{Down: true})
		if _, err := client.Plan(withTimeout(), fleetWithLimit(2)); !errors.Is(err, publish.ErrLogDown) {
			t.Errorf("before an append: %v", err)
		}
		if _, err := client.Publish(withTimeout(), plan); !errors.Is(err, publish.ErrUnknown) {
			t.Errorf("after an append: %v", err)
		}
		log.SetFaults(standin.LogFaults{})
		if _, err := client.GiveKey(withTimeout(), "kijji"); !errors.Is(err, publish.ErrNoTeam) {
			t.Errorf("unknown team: %v", err)
		}
		if err := client.WithdrawKey(withTimeout(), "k", false); !errors.Is(err, publish.ErrNoKey) {
			t.Errorf("unknown key: %v", err)
		}
		if err := client.WithdrawKey(withTimeout(), "k", true); err != nil {
			t.Errorf("unknown key with allowUnknown: %v", err)
		}
		racing := &faultyLog{Log: log, fault: func() string { return "race" }}
		racing.race = func() {
			_, _ = log.Append(withTimeout(), shared.Stream, []record.Envelope{{ID: "n", Kind: "of.a.later.version"}})
		}
		client.Log = racing
		if err := client.WithdrawKey(withTimeout(), "k2", true); !errors.Is(err, publish.ErrUnknown) {
			t.Errorf("unreadable record before the appended one: %v", err)
		}
		if _, err := client.ListKeys(withTimeout()); !errors.Is(err, publish.ErrNewerRecords) || errors.Is(err, publish.ErrUnknown) {
			t.Errorf("unreadable record: %v", err)
		}
		log.Trim(shared.Stream, 2)
		if _, err := client.ListKeys(withTimeout()); !errors.Is(err, publish.ErrHistoryGone) {
			t.Errorf("trimmed stream: %v", err)
		}
	})
}
