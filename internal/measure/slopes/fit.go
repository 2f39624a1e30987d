package slopes

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured size.
type Point struct {
	// Size is the number of VMs, teams, nodes or whatever the slope's axis counts.
	Size float64
	// Value is in the slope's unit.
	Value float64
}

// Slope is a cost measured at several sizes, and the size to design for.
type Slope struct {
	// Name is short and unique; it names the plot's file.
	Name string
	// Title says what was measured.
	Title string
	// Axis says what Size counts, and Unit what Value counts.
	Axis, Unit string
	// Timed is set if the values depend on the machine and its load.
	Timed  bool
	Points []Point
	// Design is the size to design for.
	Design float64
}

// Fit is a least-squares line through the points of a slope.
type Fit struct {
	// Fixed is the value at size 0, and Each what one unit of size adds.
	Fixed, Each float64
	// EachError is the standard error of Each.
	EachError float64
	// R2 is the part of the variance that the line explains; 1 if the values
	// do not vary.
	R2 float64
	// AtDesign is the line at the design size, and AtDesignError the standard
	// error of one new measurement there.
	AtDesign, AtDesignError float64
}

// leastPoints is the smallest number of points with a standard error.
const leastPoints = 3

// Fit draws the line. With fewer than three points its errors are infinite.
func (s Slope) Fit() Fit {
	sizes := make([]float64, len(s.Points))
	values := make([]float64, len(s.Points))
	for i, p := range s.Points {
		sizes[i], values[i] = p.Size, p.Value
	}
	fixed, each := stat.LinearRegression(sizes, values, nil, false)
	f := Fit{Fixed: fixed, Each: each, AtDesign: fixed + each*s.Design}
	f.R2 = explained(sizes, values, fixed, each)
	f.EachError, f.AtDesignError = s.errors(sizes, values, fixed, each)
	return f
}

func explained(sizes, values []float64, fixed, each float64) float64 {
	if stat.Variance(values, nil) == 0 {
		return 1
	}
	return stat.RSquared(sizes, values, nil, fixed, each)
}

// errors returns the standard errors of the line's rise and of a new value at
// the design size.
func (s Slope) errors(sizes, values []float64, fixed, each float64) (rise, design float64) {
	n := float64(len(sizes))
	if len(sizes) < leastPoints {
		return math.Inf(1), math.Inf(1)
	}
	squares := 0.0
	for i := range sizes {
		d := values[i] - fixed - each*sizes[i]
		squares += d * d
	}
	spread := math.Sqrt(squares / (n - 2))
	mean := stat.Mean(sizes, nil)
	wide := stat.Variance(sizes, nil) * (n - 1)
	away := s.Design - mean
	return spread / math.Sqrt(wide), spread * math.Sqrt(1+1/n+away*away/wide)
}
