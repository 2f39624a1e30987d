package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the processor time that this process has used, in user and
// system mode. Waiting for a core does not add to it, so it depends less than
// wall time on what else the machine runs.
func cpuTime() time.Duration {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

const (
	// leastCost is the processor time after which a measurement is long enough.
	leastCost = 60 * time.Millisecond
	// trials is the number of measurements of which the least is kept: what
	// else the process does can only add.
	trials = 3
	// mostCalls bounds the calls of one measurement.
	mostCalls = 100_000
)

// costOf returns the processor time of one call of f, garbage collection
// included.
func costOf(f func()) time.Duration {
	f()
	best := time.Duration(0)
	for i := range trials {
		if each := costOnce(f); i == 0 || each < best {
			best = each
		}
	}
	return best
}

func costOnce(f func()) time.Duration {
	runtime.GC()
	begin := cpuTime()
	calls := 0
	for calls < mostCalls {
		f()
		calls++
		if calls&(calls-1) == 0 && cpuTime()-begin > leastCost {
			break
		}
	}
	return (cpuTime() - begin) / time.Duration(calls)
}

// heapOf returns the bytes of heap that what build returns keeps alive.
func heapOf(build func() any) float64 {
	before := heapNow()
	kept := build()
	after := heapNow()
	runtime.KeepAlive(kept)
	return max(0, float64(after)-float64(before))
}

func heapNow() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func micros(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}
