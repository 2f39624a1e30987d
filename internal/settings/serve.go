package settings

import (
	"encoding/json"
	"math"
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
	// CPUShare is the CPU share of the process, in cores.
	CPUShare PositiveNumber `json:"strength"`
	// MemoryMiB is the memory limit of the process in MiB; 0 means no limit.
	MemoryMiB int64 `json:"memory_mib"`
	// Descriptors is the limit of the process's open descriptors; 0 means the system's limit.
	Descriptors int `json:"descriptors"`
	// BodyMemoryMiB is the size of the request bodies that the process receives at one time, in MiB.
	BodyMemoryMiB int64 `json:"body_memory_mib"`
	// BodyTimeout is the maximum time that each 64 KiB of a body, or its end, take.
	BodyTimeout spec.Duration `json:"body_timeout"`
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
	OrdersPerSecond PositiveNumber `json:"orders_per_second"`
	// MaxLease is the maximum lease that workers grant.
	MaxLease spec.Duration `json:"lease_most"`
	// MinOrderGap is the minimum time between orders of two owners to the same
	// machine.
	MinOrderGap spec.Duration `json:"order_gap"`
	// MaxRecordBytes and MaxAppendBytes are the sizes of the largest record and append that the store
	// takes.
	MaxRecordBytes int `json:"record_bytes"`
	MaxAppendBytes int `json:"append_bytes"`
	// EvacuationLimit is the time after which nothing may start in an availability zone whose
	// evacuation was acknowledged. Without it a node starts tasks whatever the age of its last
	// read of the operators' requests.
	EvacuationLimit spec.Duration `json:"evacuate_within"`
	// KeepFinished is the time for which finished jobs can be queried.
	KeepFinished spec.Duration `json:"keep_ended"`
	// RefuseWorthless is set if jobs that certainly cannot complete while they have a
	// value are refused.
	RefuseWorthless bool `json:"refuse_worthless"`
	// GracePeriod is the time from the stop signal until the process must have exited.
	GracePeriod spec.Duration `json:"grace"`
}

// PositiveNumber is a positive number that is encoded in JSON as a string such as "0.4".
type PositiveNumber float64

// UnmarshalJSON decodes a string such as "0.4".
func (n *PositiveNumber) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Wrap(err, "the number must be a string")
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value <= 0 {
		return errors.Newf("%q is not a positive number", text)
	}
	*n = PositiveNumber(value)
	return nil
}

// JSONExample implements strictjson.Formatted.
func (*PositiveNumber) JSONExample() string { return `a positive number such as "0.4"` }

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
	defaultBodyTimeout  = 10 * time.Second
	// defaultBodyMemoryMiB is the default of BodyMemoryMiB without a memory limit. With one it is
	// 1/bodyMemoryShare of it, at least minBodyMemoryMiB.
	defaultBodyMemoryMiB = 64
	bodyMemoryShare      = 8
	// minBodyMemoryMiB takes the largest body with the reserve for small ones.
	minBodyMemoryMiB = 4
	minDescriptors   = 512
	minBodyTimeout   = time.Second
	maxBodyTimeout   = time.Hour
	// defaultOrdersPerSecond is a rate that a small platform accepts.
	defaultOrdersPerSecond = 10

	// minLeaseLimit and maxLeaseLimit are the bounds of Serve.MaxLease.
	minLeaseLimit = time.Second
	maxLeaseLimit = time.Hour

	// minRecordLimit and maxRecordLimit are the bounds of Serve.MaxRecordBytes, in bytes, and
	// minAppendRecords is the number of the largest records that an append must hold.
	minRecordLimit   = 32 << 10
	maxRecordLimit   = 64 << 20
	minAppendRecords = 4
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
	s := Serve{CPUShare: 1, OrdersPerSecond: defaultOrdersPerSecond}
	doc := strictjson.Parse(path, data)
	doc.Decode(&s)
	if doc.Parsed() {
		strictjson.RequireAll(doc.Root(), serveRequired)
		strictjson.CheckDuration(doc.Root().Field("lease_most"), "lease_most", s.MaxLease.D(), minLeaseLimit, maxLeaseLimit)
		if s.Descriptors != 0 {
			strictjson.CheckInt(doc.Root().Field("descriptors"), "descriptors", s.Descriptors, minDescriptors, math.MaxInt32)
		}
		if s.BodyMemoryMiB != 0 {
			strictjson.CheckInt(doc.Root().Field("body_memory_mib"), "body_memory_mib", int(s.BodyMemoryMiB), minBodyMemoryMiB, math.MaxInt32)
		}
		if s.BodyTimeout != 0 {
			strictjson.CheckDuration(doc.Root().Field("body_timeout"), "body_timeout", s.BodyTimeout.D(), minBodyTimeout, maxBodyTimeout)
		}
		if s.MaxRecordBytes != 0 {
			strictjson.CheckInt(doc.Root().Field("record_bytes"), "record_bytes", s.MaxRecordBytes, minRecordLimit, maxRecordLimit)
		}
		if s.MaxAppendBytes != 0 {
			strictjson.CheckInt(doc.Root().Field("append_bytes"), "append_bytes", s.MaxAppendBytes, minAppendRecords*max(s.MaxRecordBytes, minRecordLimit), math.MaxInt32)
		}
	}
	problems := doc.Problems()
	problems.Sort()
	if err := problems.Err(); err != nil {
		return Serve{}, err
	}
	setDefault(&s.KeepFinished, defaultKeepFinished)
	setDefault(&s.GracePeriod, defaultGracePeriod)
	setDefault(&s.MinOrderGap, defaultMinOrderGap)
	setDefault(&s.BodyTimeout, defaultBodyTimeout)
	if s.BodyMemoryMiB == 0 {
		s.BodyMemoryMiB = defaultBodyMemoryMiB
		if s.MemoryMiB > 0 {
			s.BodyMemoryMiB = max(s.MemoryMiB/bodyMemoryShare, minBodyMemoryMiB)
		}
	}
	return s, nil
}

func setDefault(d *spec.Duration, defaultValue time.Duration) {
	if *d == 0 {
		*d = spec.Duration(defaultValue)
	}
}
