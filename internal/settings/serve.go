package settings

import (
	"encoding/json"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/strictjson"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Serve is the settings of a process that runs jobs on the platform of a
// deployment.
type Serve struct {
	Node vocab.NodeID `json:"node"`
	Zone vocab.ZoneID `json:"zone"`
	// Strength is the CPU share of the process, in cores.
	Strength Number `json:"strength"`
	// MemoryMiB is the memory limit of the process in MiB; 0 means no limit.
	MemoryMiB int64 `json:"memory_mib"`
	// Callers, Readiness and Operators are the addresses to listen on for the
	// callers' requests, for readiness checks, and for metrics and dumps.
	Callers   Address `json:"callers"`
	Readiness Address `json:"readiness"`
	Operators Address `json:"operators"`
	// Peers is the address to listen on for other entry processes. Without it
	// no calls are forwarded.
	Peers Address `json:"peers"`
	// Store, Machines and Advisor are the addresses of the platform's services.
	// Machines and Advisor are optional.
	Store    URL `json:"store"`
	Machines URL `json:"machines"`
	Advisor  URL `json:"advisor"`
	// OrdersPerSecond is the maximum rate of machine orders that the platform
	// accepts.
	OrdersPerSecond Number `json:"orders_per_second"`
	// LeaseMost is the maximum lease that workers grant.
	LeaseMost spec.Duration `json:"lease_most"`
	// OrderGap is the minimum time between orders of two owners to the same
	// machine.
	OrderGap spec.Duration `json:"order_gap"`
	// KeepEnded is the time for which finished jobs can be queried.
	KeepEnded spec.Duration `json:"keep_ended"`
	// Grace is the time from the stop signal until the process must have exited.
	Grace spec.Duration `json:"grace"`
}

// Number is a positive number that is encoded in JSON as a string such as "0.4".
type Number float64

// UnmarshalJSON decodes a string such as "0.4".
func (n *Number) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Wrap(err, "the number must be a string")
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value <= 0 {
		return errors.Newf("%q is not a positive number", text)
	}
	*n = Number(value)
	return nil
}

// JSONExample implements strictjson.Formatted.
func (*Number) JSONExample() string { return `a positive number such as "0.4"` }

var serveRequired = []strictjson.Required{
	{Name: "node", Example: `"node": "entry-1"`},
	{Name: "zone", Example: `"zone": "nakuru-a"`},
	{Name: "callers", Example: `"callers": "10.0.0.5:8340"`},
	{Name: "readiness", Example: `"readiness": "10.0.0.5:8343"`},
	{Name: "operators", Example: `"operators": "10.0.0.5:7000"`},
	{Name: "store", Example: `"store": "http://10.0.0.9:8344"`},
	{Name: "lease_most", Example: `"lease_most": "6s"`},
}

// Defaults and bounds of Serve.
const (
	defaultKeepFinished = 2 * time.Minute
	defaultGracePeriod  = 6 * time.Second
	defaultMinOrderGap  = 3 * time.Second
	// defaultOrdersPerSecond is a rate that a small platform accepts.
	defaultOrdersPerSecond = 10

	// minLeaseLimit and maxLeaseLimit are the bounds of Serve.LeaseMost.
	minLeaseLimit = time.Second
	maxLeaseLimit = time.Hour
)

// LoadServe reads and checks a settings file. The error is strictjson.Problems
// with the problems of the file, or wraps ErrUnreadable.
func LoadServe(path string) (Serve, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Serve{}, errors.Mark(errors.Wrap(err, "settings"), ErrUnreadable)
	}
	return CheckServe(path, data)
}

// CheckServe decodes and checks the content of the settings file at path. The
// error is strictjson.Problems.
func CheckServe(path string, data []byte) (Serve, error) {
	s := Serve{Strength: 1, OrdersPerSecond: defaultOrdersPerSecond}
	doc := strictjson.Parse(path, data)
	doc.Decode(&s)
	if doc.OK() {
		strictjson.RequireAll(doc.Root(), serveRequired)
		strictjson.CheckDuration(doc.Root().Field("lease_most"), "lease_most", s.LeaseMost.D(), minLeaseLimit, maxLeaseLimit)
	}
	problems := doc.Problems()
	problems.Sort()
	if err := problems.Err(); err != nil {
		return Serve{}, err
	}
	setDefault(&s.KeepEnded, defaultKeepFinished)
	setDefault(&s.Grace, defaultGracePeriod)
	setDefault(&s.OrderGap, defaultMinOrderGap)
	return s, nil
}

func setDefault(d *spec.Duration, defaultValue time.Duration) {
	if *d == 0 {
		*d = spec.Duration(defaultValue)
	}
}
