// Package placement decides which worker runs which task: it filters the
// workers that have room, scores them, reserves the room and returns bindings.
// It learns sizes and run times from what attempts used, compares the failures
// of workers, orders teams by their weighted use, and names attempts to
// throttle, checkpoint or stop when urgent tasks find no room.
package placement

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/record"
)

// Size is an amount of processor time, memory and accelerators.
type Size = record.TaskSize

func add(a, b Size) Size {
	return Size{
		MilliCPU:     a.MilliCPU + b.MilliCPU,
		MemoryBytes:  a.MemoryBytes + b.MemoryBytes,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

func sub(a, b Size) Size {
	return Size{
		MilliCPU:     a.MilliCPU - b.MilliCPU,
		MemoryBytes:  a.MemoryBytes - b.MemoryBytes,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}

// fits reports whether need is within room in every dimension.
func fits(need, room Size) bool {
	return need.MilliCPU <= room.MilliCPU &&
		need.MemoryBytes <= room.MemoryBytes &&
		need.Accelerators <= room.Accelerators
}

// dominant returns the largest part that use is of total, over the dimensions.
func dominant(use, total Size) float64 {
	part := ratio(use.MilliCPU, total.MilliCPU)
	part = max(part, ratio(use.MemoryBytes, total.MemoryBytes))
	return max(part, ratio(use.Accelerators, total.Accelerators))
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Describe writes a size for operators.
func Describe(s Size) string {
	const mebibyte = 1 << 20
	return fmt.Sprintf("%dm CPU, %d MiB, %d accelerators", s.MilliCPU, s.MemoryBytes/mebibyte, s.Accelerators)
}
