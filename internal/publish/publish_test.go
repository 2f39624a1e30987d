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

// faultyLog fails appends as drawn: an answer is lost, the request is lost, or
// the request arrives late, before or after a later append. It lets others act first.
type faultyLog struct {
	*standin.Log
	fault func() string
	late  [][]record.Envelope
	race  func()
}

var errNoAnswer = errors.Mark(errors.New("no answer"), services.ErrUnavailable)

func (l *faultyLog) Append(ctx context.Context, s vocab.StreamID, records []record.Envelope) (vocab.Offset, error) {
	switch l.fault() {
	case "request lost":
		return 0, errNoAnswer
	case "late":
		l.late = append(l.late, records)
		return 0, errNoAnswer
	case "answer lost":
		_, _ = l.Log.Append(ctx, s, records)
		return 0, errNoAnswer
	case "race":
		l.race()
	case "late first":
		l.deliverLate(ctx, s)
	}
	offset, err := l.Log.Append(ctx, s, records)
	l.deliverLate(ctx, s)
	return offset, err
}

func (l *faultyLog) deliverLate(ctx context.Context, s vocab.StreamID) {
	for _, records := range l.late {
		_, _ = l.Log.Append(ctx, s, records)
	}
	l.late = nil
}

func fleetWithLimit(limit int) spec.Fleet {
	return spec.Fleet{Name: "f", Teams: []spec.Team{{Name: "kijiji", Share: 1, UpperLimit: vocab.Slots(limit)}}}
}

// TestOperationsUnderFaults holds that every operation is told truly, whatever
// is lost, late or raced: an accepted configuration came into force once, a
// refused one never did, a given key works, a withdrawn one never again.
func TestOperationsUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, checkOperations)
	})
}

func checkOperations(t *rapid.T) {
	ctx := context.Background()
	log := &faultyLog{Log: standin.NewLog()}
	other := publish.Client{Log: log.Log, Operator: "other"}
	client := publish.Client{Log: log, Operator: "self"}
	inForce, refused, limit := map[int]vocab.Revision{}, map[int]bool{}, 0
	apply := func(c publish.Client, meanwhile func()) {
		limit++
		mine := limit
		plan, err := c.Plan(ctx, fleetWithLimit(mine))
		meanwhile()
		result, err2 := c.Publish(ctx, plan)
		if err != nil || err2 != nil {
			t.Fatal(err, err2)
		}
		if result.Accepted {
			inForce[mine] = result.Revision
			return
		}
		refused[mine] = true
		if len(result.Since) == 0 || len(result.Others) == 0 || result.Others[0].Operator == "" {
			t.Fatalf("refused without saying what changed: %+v", result)
		}
	}
	log.race = func() { apply(other, func() {}) }
	log.fault = func() string {
		return rapid.SampledFrom([]string{"none", "race", "answer lost", "late", "late first", "request lost"}).Draw(t, "fault")
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
		if fmt.Sprint(history) != fmt.Sprint(inForce) {
			t.Fatalf("came into force %v, operators were told %v", history, inForce)
		}
	}
}

// foldAll returns the state and the revision under which each limit came into
// force; a second time shows as revision 0.
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
		if _, twice := history[limit]; twice {
			history[limit] = 0
			continue
		}
		history[limit] = state.Revision
	}
	return state, history
}

func TestOutageIsToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewLog()
		client := publish.Client{Log: log}
		short := func() context.Context {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			t.Cleanup(cancel)
			return ctx
		}
		plan, err := client.Plan(short(), fleetWithLimit(1))
		if err != nil {
			t.Fatal(err)
		}
		log.SetFaults(standin.LogFaults{Down: true})
		if _, err := client.Plan(short(), fleetWithLimit(2)); !errors.Is(err, publish.ErrLogDown) {
			t.Errorf("before an append: %v", err)
		}
		if _, err := client.Publish(short(), plan); !errors.Is(err, publish.ErrUnknown) {
			t.Errorf("after an append: %v", err)
		}
		log.SetFaults(standin.LogFaults{})
		if _, err := client.GiveKey(short(), "kijji"); !errors.Is(err, publish.ErrNoTeam) {
			t.Errorf("unknown team: %v", err)
		}
		if err := client.WithdrawKey(short(), "k", false); !errors.Is(err, publish.ErrNoKey) {
			t.Errorf("unknown key: %v", err)
		}
		if err := client.WithdrawKey(short(), "k", true); err != nil {
			t.Errorf("unknown key, withdrawn all the same: %v", err)
		}
		newer := &faultyLog{Log: log, fault: func() string { return "race" }}
		newer.race = func() {
			_, _ = log.Append(short(), shared.Stream, []record.Envelope{{ID: "n", Kind: "of.a.later.version"}})
		}
		client.Log = newer
		if err := client.WithdrawKey(short(), "k2", true); !errors.Is(err, publish.ErrUnknown) {
			t.Errorf("unreadable record before the own one: %v", err)
		}
		if _, err := client.ListKeys(short()); !errors.Is(err, publish.ErrNewerRecords) || errors.Is(err, publish.ErrUnknown) {
			t.Errorf("unreadable record: %v", err)
		}
		log.Trim(shared.Stream, 2)
		if _, err := client.ListKeys(short()); !errors.Is(err, publish.ErrHistoryGone) {
			t.Errorf("trimmed stream: %v", err)
		}
	})
}
