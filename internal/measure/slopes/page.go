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

// plotDir is the directory of the plots, relative to the page's directory.
const plotDir = "capacity"

//go:embed page.md.tmpl
var pageTemplateText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"figure":  formatFigure,
	"bytes":   formatBytes,
	"core":    func(us float64) string { return fmt.Sprintf("%.2f%%", us/1e4) },
	"percent": func(fraction float64) string { return fmt.Sprintf("%.1f%%", 100*fraction) },
	"points":  formatPoints,
	"join":    strings.Join,
	"day":     perSecond,
}).Parse(pageTemplateText))

// formatBytes formats a number of bytes in the largest unit in which it is at
// least 1.
func formatBytes(v float64) string {
	const kilo, mega, giga = 1 << 10, 1 << 20, 1 << 30
	switch {
	case v >= giga:
		return formatFigure(v/giga) + " GB"
	case v >= mega:
		return formatFigure(v/mega) + " MB"
	case v >= kilo:
		return formatFigure(v/kilo) + " KB"
	}
	return fmt.Sprintf("%.0f B", v)
}

// pageData is the data of the template.
type pageData struct {
	Report
	Roles                       []Role
	Control                     Role
	RecordLoads                 []RecordLoad
	TaskAppendsPerSecond        float64
	FleetAppendsPerSecond       float64
	EntryNodeEstimates          []EntryNodeEstimate
	TaskRateLimits              []TaskRateLimit
	TasksPerSecond              float64
	RequestCPU, RequestCPUError string
	PlotDir                     string
	MaxOwnerWorkers             int
	FittedSlopes                []fittedSlope
	PacketHeaderBytes           int

	ConfigBytes, ConfigFoldMicros, SnapshotBytes, RestoreMicros         float64
	ListChangeMicros, PlanMicros, MaintainedVMsPerDay, UrgentWaitMillis float64

	AppendInterval time.Duration
	// MinMeanRunTime is the shortest mean run time of requests that 7 of 8 nodes can
	// serve with all slots busy.
	MinMeanRunTime time.Duration
	OutageBacklog
	// WaitingRequestBytes has one element: the heap of one waiting request.
	WaitingRequestBytes []float64
	// RecordTotals, AppendsPerSecond and AppendBytesPerSecond each have three
	// elements: for an ordinary day, for the minute in which a zone is lost and for
	// the minute after an outage of the log. The first element of RecordTotals is
	// records per second, the others are records in that minute.
	RecordTotals, AppendsPerSecond, AppendBytesPerSecond [3]float64
}

// fittedSlope is a slope with its fitted line.
type fittedSlope struct {
	Slope
	Fit Fit
}

// data computes the data of the template from the report.
func (r Report) data() pageData {
	d := pageData{
		Report: r, Roles: r.roles(), Control: r.controlTotal(), RecordLoads: r.recordLoads(), EntryNodeEstimates: r.entryNodeEstimates(), TaskRateLimits: r.taskRateLimits(),
		TasksPerSecond: tasksPerSecond, PlotDir: plotDir, MaxOwnerWorkers: workerCounts[len(workerCounts)-1],
	}
	cost, standardError := r.Requests.CPUPerRequest()
	d.RequestCPU, d.RequestCPUError = cost.String(), standardError.String()
	d.TaskAppendsPerSecond, d.FleetAppendsPerSecond = r.appendsPerSecond()
	d.PacketHeaderBytes = packetHeaderBytes
	d.ConfigBytes, d.ConfigFoldMicros = r.atDesignSize("config-bytes-teams"), r.atDesignSize("config-fold")
	d.SnapshotBytes, d.RestoreMicros = r.atDesignSize("snapshot-bytes-teams"), r.atDesignSize("restore")
	for _, p := range r.slope("urgent-wait").Points {
		d.UrgentWaitMillis = max(d.UrgentWaitMillis, p.Value)
	}
	d.ListChangeMicros, d.PlanMicros, d.MaintainedVMsPerDay = r.atDesignSize("vm-list"), r.atDesignSize("plan-vms"), maintainedVMsPerDay
	d.AppendInterval = task.AppendInterval(designNodes, 1)
	d.MinMeanRunTime = r.minMeanRunTime().Round(time.Millisecond)
	d.OutageBacklog = r.outageBacklog()
	d.WaitingRequestBytes = []float64{r.slope("waiting-heap").Fit().PerUnit}
	for _, s := range r.Slopes {
		d.FittedSlopes = append(d.FittedSlopes, fittedSlope{s, s.Fit()})
	}
	d.sumRecordLoads()
	return d
}

// sumRecordLoads sums the record loads of all kinds. Each record of another stream
// than the task stream counts as one append.
func (d *pageData) sumRecordLoads() {
	const minute = 60
	for i := range d.AppendsPerSecond {
		d.AppendsPerSecond[i] = d.TaskAppendsPerSecond
	}
	for _, load := range d.RecordLoads {
		counts := [3]float64{perSecond(load.OrdinaryPerDay), load.ZoneLossMinute, load.AfterOutageMinute}
		seconds := [3]float64{1, minute, minute}
		for i := range counts {
			d.RecordTotals[i] += counts[i]
			d.AppendBytesPerSecond[i] += counts[i] * load.Bytes / seconds[i]
			if !strings.HasPrefix(string(load.Kind), "task.") {
				d.AppendsPerSecond[i] += counts[i] / seconds[i]
			}
		}
	}
}

// Page returns the capacity page as Markdown.
func (r Report) Page() (string, error) {
	var text strings.Builder
	if err := pageTemplate.Execute(&text, r.data()); err != nil {
		return "", errors.Wrap(err, "writing the capacity page")
	}
	return text.String(), nil
}

// WritePage writes the page to a file and the plots into the directory plotDir next
// to it.
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
