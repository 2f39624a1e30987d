package slopes

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement of a slope.
type Point struct {
	// Size is the number of VMs, teams, nodes or whatever the slope's axis counts.
	Size float64
	// Value is the measured cost in the slope's unit.
	Value float64
}

// Slope is a cost measured at several sizes, and the size at which to estimate it.
type Slope struct {
	// Name is a short unique name; the plot's file is named after it.
	Name string
	// Title describes what was measured.
	Title string
	// Axis is what Point.Size counts, and Unit the unit of Point.Value.
	Axis, Unit string
	// MachineDependent is true for processor time and heap, which differ between
	// machines and runs.
	MachineDependent bool
	Points           []Point
	// DesignSize is the size that the system is designed for.
	DesignSize float64
}

// Fit is the least-squares line through the points of a slope.
type Fit struct {
	// Intercept is the value at size 0, and PerUnit the increase for each unit of
	// size.
	Intercept, PerUnit float64
	// PerUnitError is the standard error of PerUnit.
	PerUnitError float64
	// R2 is the coefficient of determination; 1 if the values do not vary.
	R2 float64
	// AtDesign is the value of the line at the design size, and AtDesignError the
	// standard error of predicting one new measurement there.
	AtDesign, AtDesignError float64
}

// minPoints is the smallest number of points for which the standard errors are
// defined: the line takes two degrees of freedom.
const minPoints = 3

// Fit returns the least-squares line. With fewer than 3 points its standard errors
// are infinite.
func (s Slope) Fit() Fit {
	sizes := make([]float64, len(s.Points))
	values := make([]float64, len(s.Points))
	for i, p := range s.Points {
		sizes[i], values[i] = p.Size, p.Value
	}
	intercept, perUnit := stat.LinearRegression(sizes, values, nil, false)
	f := Fit{Intercept: intercept, PerUnit: perUnit, AtDesign: intercept + perUnit*s.DesignSize}
	f.R2 = rSquared(sizes, values, intercept, perUnit)
	f.PerUnitError, f.AtDesignError = s.standardErrors(sizes, values, intercept, perUnit)
	return f
}

// rSquared returns the coefficient of determination, or 1 if the values do not
// vary.
func rSquared(sizes, values []float64, intercept, perUnit float64) float64 {
	if stat.Variance(values, nil) == 0 {
		return 1
	}
	return stat.RSquared(sizes, values, nil, intercept, perUnit)
}

// standardErrors returns the standard error of the line's gradient and that of one
// new value at the design size.
func (s Slope) standardErrors(sizes, values []float64, intercept, perUnit float64) (gradient, design float64) {
	n := float64(len(sizes))
	if len(sizes) < minPoints {
		return math.Inf(1), math.Inf(1)
	}
	squaredResiduals := 0.0
	for i := range sizes {
		d := values[i] - intercept - perUnit*sizes[i]
		squaredResiduals += d * d
	}
	residualError := math.Sqrt(squaredResiduals / (n - 2))
	mean := stat.Mean(sizes, nil)
	sizeSquares := stat.Variance(sizes, nil) * (n - 1)
	distance := s.DesignSize - mean
	return residualError / math.Sqrt(sizeSquares), residualError * math.Sqrt(1+1/n+distance*distance/sizeSquares)
}
