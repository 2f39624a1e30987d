package job

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestMetricLabels checks that the metric label of every log event is the one that
// dashboards and alerts match, whatever the text of the event is.
func TestMetricLabels(t *testing.T) {
	g := gomega.NewWithT(t)
	labels := map[LogEventID]string{}
	for id := range LogEvents() {
		labels[id] = id.MetricLabel()
	}
	g.Expect(labels).To(gomega.Equal(map[LogEventID]string{
		600: "ownership claimed",
		601: "owning the workers",
		602: "ownership lost",
		603: "ownership handed over",
		604: "job stream lost",
		605: "job stream back",
		606: "configuration in force",
		607: "job accepted",
		608: "job refused",
		609: "run started",
		610: "start failed",
		611: "run ended",
		612: "run lost",
		613: "job ended",
		614: "job cancelled",
		615: "worker silent",
		616: "worker answers again",
		617: "worker restarted",
		618: "record unreadable",
		619: "machine upkeep",
		620: "machine move",
		621: "wave",
		622: "stray run stopped",
		623: "run paced",
		624: "pool state",
		625: "advice given",
		626: "call not served",
		627: "call without an answer",
		628: "call passed on",
		629: "ownership offered",
		630: "internal error",
		631: "remote node",
		632: "fleet state",
		633: "evacuation",
		634: "job refused for load",
		635: "configuration problem",
		637: "pool supplied",
		638: "room reserved",
		639: "worker lost",
		640: "task given up",
		641: "ownership transferred",
		642: "append refused",
		643: "record too large",
		644: "attempts used up",
		645: "start reached a later incarnation",
		646: "ends left out",
		647: "occurrences wait",
		648: "advice requested",
		649: "step waits",
	}))
}
