package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the processor time that this process has used in user and system
// mode. It excludes waiting for a core and so depends less than wall time on the
// load of the machine.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const (
	// minMeasuredCPUTime is the processor time after which a measurement ends.
	minMeasuredCPUTime = 60 * time.Millisecond
	// measurementCount is the number of measurements, of which the smallest is kept:
	// other work of the process can only increase a measurement.
	measurementCount = 3
	// maxCalls is the maximum number of calls in one measurement.
	maxCalls = 100_000
)

// cpuTimePerCall returns the processor time of one call of f, including garbage
// collection. It calls f once before it measures.
func cpuTimePerCall(f func()) time.Duration {
	f()
	smallest := time.Duration(0)
	for i := range measurementCount {
		if perCall := measureCPUTimePerCall(f); i == 0 || perCall < smallest {
			smallest = perCall
		}
	}
	return smallest
}

// measureCPUTimePerCall returns the mean processor time of repeated calls of f.
func measureCPUTimePerCall(f func()) time.Duration {
	runtime.GC()
	begin := cpuTime()
	calls := 0
	for calls < maxCalls {
		f()
		calls++
		if calls&(calls-1) == 0 && cpuTime()-begin > minMeasuredCPUTime {
			break
		}
	}
	return (cpuTime() - begin) / time.Duration(calls)
}

// retainedHeapBytes returns the bytes of heap that the result of build keeps alive.
func retainedHeapBytes(build func() any) float64 {
	before := liveHeapBytes()
	retained := build()
	after := liveHeapBytes()
	runtime.KeepAlive(retained)
	return max(0, float64(after)-float64(before))
}

// liveHeapBytes returns the bytes of heap in use after garbage collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// toMicroseconds converts a duration to microseconds.
func toMicroseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}
