package job

import (
	"testing"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// FuzzRecord: a record of the stream is used or left out, also by an owner that takes over
// jobs with it, and by one that reads it later.
func FuzzRecord(f *testing.F) {
	f.Add("a/0000000000000001", []byte(`{"q":"q","pool":"p","t":"t","at":1,"spec":{"s":[{"n":2,"r":{"c":1000}}]}}`), []byte(`r[{"i":1,"r":2,"w":"w1","b":1}]`))
	f.Add("a/0000000000000001", []byte(`{"spec":{"s":[{"n":-1,"a":[5]}],"times":-3}}`), []byte(`r[{"k":99,"s":-1,"i":-7}]`))
	f.Add("a/0000000000000001", []byte(`{"spec":{"s":[{"n":1}],"times":99999999}}`), []byte(`r[{"k":9999999}]`))
	f.Add("owner", []byte(`{"node":"x","fence":18446744073709551615,"ordered":[{"m":"m","ms":-9223372036854775808}]}`), []byte(`d`))
	f.Add("owner", []byte(`{"node":"x","fence":0,"resigned":true,"next":"a","appointed":1}`), []byte(`r[]`))
	f.Add("u/w1", []byte(`{"ms":100,"at":{"w":"w1","b":1,"m":"m","a":"h:1"}}`), []byte(`r[{"i":1,"r":2,"w":"w1","b":1}]`))
	f.Add("k/1", []byte(`{"node":"b","replaces":0}`), []byte(``))
	f.Add("n/b", []byte(`{"strength":1e308}`), []byte(`x`))
	f.Add("w/1", []byte(`{"done":["m"],"complete":true}`), []byte(`q`))
	f.Add("c/0000000000000001", []byte(`1`), []byte(`r`))
	f.Fuzz(func(_ *testing.T, key string, value, progress []byte) {
		records := []Record{{Offset: 1, Key: key, Value: value}, {Offset: 2, Key: progressPrefix + "0000000000000001", Value: progress}}
		s := New(Identity{Node: "a", Incarnation: 1, CPUShare: 1}, Settings{MaxLease: time.Second})
		config := &Config{Version: 1, Queues: []Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Open: true}}}
		s.Step(Clock{Now: 1}, ConfigRead{Config: config})
		s.Step(Clock{Now: 2}, StreamLoaded{Records: records, From: 3})
		s.Step(Clock{Now: 3}, StreamRead{Records: records, Next: 5, End: 5, SentAt: 2})
		o := newOwner(s, s.ledger.ownerFence+1)
		s.owner, o.stage = o, stageReading
		o.activateIfRead()
		o.ordersUntil, o.workersKnown = vocab.Instant(time.Hour), true
		s.Step(Clock{Now: vocab.Instant(time.Second), Wall: 1000}, WorkersListed{Full: true})
		s.Step(Clock{Now: vocab.Instant(2 * time.Second), Wall: 2000}, StreamRead{Records: records, Next: 7, End: 7, SentAt: 4})
		s.Step(Clock{Now: vocab.Instant(3 * time.Second), Wall: 3000}, Tick{})
		s.Dump()
	})
}
