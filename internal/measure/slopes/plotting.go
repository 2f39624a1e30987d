package slopes

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
)

// writePlot draws the points, the fitted line and the value at the design size with
// its error into an SVG file named after the slope.
func writePlot(dir string, s Slope) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.Axis
	p.Y.Label.Text = s.Unit
	p.X.Min, p.Y.Min = 0, 0
	fit := s.Fit()
	measured := make(plotter.XYs, len(s.Points))
	maxSize := s.DesignSize
	for i, point := range s.Points {
		measured[i] = plotter.XY{X: point.Size, Y: point.Value}
		maxSize = max(maxSize, point.Size)
	}
	points, err := plotter.NewScatter(measured)
	if err != nil {
		return errors.Wrapf(err, "plot %s", s.Name)
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: fit.Intercept}, {X: maxSize, Y: fit.Intercept + fit.PerUnit*maxSize}})
	if err != nil {
		return errors.Wrapf(err, "plot %s", s.Name)
	}
	errorBar, err := plotter.NewYErrorBars(designPoint{s.DesignSize, fit.AtDesign, fit.AtDesignError})
	if err != nil {
		return errors.Wrapf(err, "plot %s", s.Name)
	}
	p.Add(points, line, errorBar)
	return errors.Wrapf(p.Save(plotWidth, plotHeight, filepath.Join(dir, s.Name+".svg")), "plot %s", s.Name)
}

// designPoint is the fitted value at the design size with its standard error.
type designPoint struct {
	size, value, standardError float64
}

// Len implements plotter.XYer.
func (designPoint) Len() int { return 1 }

// XY implements plotter.XYer.
func (d designPoint) XY(int) (x, y float64) { return d.size, d.value }

// YError implements plotter.YErrorer.
func (d designPoint) YError(int) (low, high float64) { return d.standardError, d.standardError }
