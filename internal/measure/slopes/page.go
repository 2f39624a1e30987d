package slopes

import (
	_ "embed"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/task"
)

// plotDir is the directory of the plots beside the page.
const plotDir = "capacity"

//go:embed page.md.tmpl
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"figure":  figure,
	"bytes":   sizeText,
	"core":    func(us float64) string { return fmt.Sprintf("%.2f%%", us/1e4) },
	"percent": func(part float64) string { return fmt.Sprintf("%.1f%%", 100*part) },
	"points":  pointsText,
	"join":    strings.Join,
	"day":     perSecond,
}).Parse(pageText))

// sizeText writes a number of bytes in the largest unit that keeps it above 1.
func sizeText(v float64) string {
	const kilo, mega, giga = 1 << 10, 1 << 20, 1 << 30
	switch {
	case v >= giga:
		return figure(v/giga) + " GB"
	case v >= mega:
		return figure(v/mega) + " MB"
	case v >= kilo:
		return figure(v/kilo) + " KB"
	}
	return fmt.Sprintf("%.0f B", v)
}

// pageData is what the template reads.
type pageData struct {
	Report
	Roles          []Role
	Control        Role
	Kinds          []Kind
	TaskAppends    float64
	FleetAppends   float64
	Needs          []EntryNeed
	TaskLimits     []TaskLimit
	TasksPerSecond float64
	Cost, CostErr  string
	PlotDir        string
	OwnerWorkers   int
	Lines          []line
	PacketBytes    int

	ConfigBytes, ConfigFold, SnapshotBytes, Restore float64
	ListChange, Plan, MaintainedPerDay, UrgentWait  float64

	AppendEvery time.Duration
	// LeastRun is the shortest mean run that 8 nodes carry without one of them.
	LeastRun time.Duration
	Outage
	// WaitingEach holds the heap of one waiting request.
	WaitingEach []float64
	// Totals, Appends and AppendBytes are for an ordinary day, the loss of a
	// zone and the end of an outage. Totals counts records a second on an
	// ordinary day and in a minute else; the others are a second.
	Totals, Appends, AppendBytes [3]float64
}

// line is a slope with its fit.
type line struct {
	Slope
	Fit Fit
}

func (r Report) data() pageData {
	d := pageData{
		Report: r, Roles: r.roles(), Control: r.control(), Kinds: r.kinds(), Needs: r.entryNeeds(), TaskLimits: r.taskLimits(),
		TasksPerSecond: tasksPerSecond, PlotDir: plotDir, OwnerWorkers: workerSizes[len(workerSizes)-1],
	}
	cost, spread := r.Requests.Cost()
	d.Cost, d.CostErr = cost.String(), spread.String()
	d.TaskAppends, d.FleetAppends = r.appendsPerSecond()
	d.PacketBytes = packetBytes
	d.ConfigBytes, d.ConfigFold = r.at("config-bytes-teams"), r.at("config-fold")
	d.SnapshotBytes, d.Restore = r.at("snapshot-bytes-teams"), r.at("restore")
	for _, p := range r.slope("urgent-wait").Points {
		d.UrgentWait = max(d.UrgentWait, p.Value)
	}
	d.ListChange, d.Plan, d.MaintainedPerDay = r.at("vm-list"), r.at("plan-vms"), maintainedPerDay
	d.AppendEvery = task.AppendInterval(designNodes, 1)
	d.LeastRun = r.leastRun().Round(time.Millisecond)
	d.Outage = r.outage()
	d.WaitingEach = []float64{r.slope("waiting-heap").Fit().Each}
	for _, s := range r.Slopes {
		d.Lines = append(d.Lines, line{s, s.Fit()})
	}
	d.total()
	return d
}

// total sums the records of all kinds.
func (d *pageData) total() {
	const minute = 60
	for i := range d.Appends {
		d.Appends[i] = d.TaskAppends
	}
	for _, k := range d.Kinds {
		counts := [3]float64{perSecond(k.Ordinary), k.Zone, k.Outage}
		spans := [3]float64{1, minute, minute}
		for i := range counts {
			d.Totals[i] += counts[i]
			d.AppendBytes[i] += counts[i] * k.Bytes / spans[i]
			if !strings.HasPrefix(string(k.Kind), "task.") {
				d.Appends[i] += counts[i] / spans[i]
			}
		}
	}
}

// Page returns the capacity page as Markdown.
func (r Report) Page() (string, error) {
	var text strings.Builder
	if err := page.Execute(&text, r.data()); err != nil {
		return "", errors.Wrap(err, "writing the capacity page")
	}
	return text.String(), nil
}

// WritePage writes the page to a file, and its plots into a directory beside it.
func (r Report) WritePage(path string) error {
	text, err := r.Page()
	if err != nil {
		return err
	}
	dir := filepath.Join(filepath.Dir(path), plotDir)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "making the directory of the plots")
	}
	for _, s := range r.Slopes {
		if err := writePlot(dir, s); err != nil {
			return err
		}
	}
	return errors.Wrap(os.WriteFile(path, []byte(text), 0o644), "writing the capacity page")
}
