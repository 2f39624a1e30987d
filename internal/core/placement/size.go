// Package placement decides which worker runs which task. It filters the workers
// with enough free capacity, scores them, reserves the capacity and returns
// bindings. Teams are ordered by their weighted dominant share of the fleet.
//
// It estimates sizes and run times from the usage of earlier attempts, quarantines
// workers that fail more often than others, and chooses attempts to throttle,
// checkpoint or stop when no worker has free capacity for an urgent task.
package placement

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/record"
)

// Size is an amount of CPU, memory and accelerators.
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

// fits reports whether need is within free in every dimension.
func fits(need, free Size) bool {
	return need.MilliCPU <= free.MilliCPU &&
		need.MemoryBytes <= free.MemoryBytes &&
		need.Accelerators <= free.Accelerators
}

// dominantShare returns the largest ratio of use to total over all dimensions.
func dominantShare(use, total Size) float64 {
	share := ratio(use.MilliCPU, total.MilliCPU)
	share = max(share, ratio(use.MemoryBytes, total.MemoryBytes))
	return max(share, ratio(use.Accelerators, total.Accelerators))
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Describe formats a size for operators.
func Describe(s Size) string {
	const mebibyte = 1 << 20
	return fmt.Sprintf("%dm CPU, %d MiB, %d accelerators", s.MilliCPU, s.MemoryBytes/mebibyte, s.Accelerators)
}
