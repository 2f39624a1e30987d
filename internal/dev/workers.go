package dev

import (
	"fmt"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/standin"
	"github.com/sardinehead/sardinehead/internal/standin/workers"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

const (
	// workerCount is the number of stand-in workers.
	workerCount = 12
	// workersPerRack is the number of workers in one rack.
	workersPerRack = 4
)

// workerSize is the capacity of each stand-in worker.
var workerSize = record.TaskSize{MilliCPU: 16000, MemoryBytes: 32 << 30}

// startWorkers returns a service with stand-in workers in all zones of the first
// region.
func startWorkers(fleet *spec.Fleet) *workers.Service {
	service := workers.NewService(clockwork.NewRealClock())
	region := fleet.Regions[0]
	for i := range workerCount {
		zone := region.Zones[i%len(region.Zones)]
		info := worker.Info{
			Worker:      vocab.VMID(fmt.Sprintf("worker-%d", i+1)),
			Incarnation: 1,
			Region:      region.Name,
			Zone:        zone,
			Rack:        vocab.RackID(fmt.Sprintf("%s-rack-%d", zone, i/workersPerRack+1)),
			Capacity:    workerSize,
		}
		service.Add(workers.New(info, attemptBehavior))
	}
	return service
}

// attemptBehavior makes every attempt use the size that its job reserves and
// succeed after a second.
func attemptBehavior(_ worker.AttemptRef, job worker.AttemptSpec) workers.Behavior {
	return workers.Behavior{Use: job.Size, RunTime: time.Second}
}

// platformHandler returns a handler that serves all of the platform's stand-ins at
// one address.
func platformHandler(in *Installation) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", standin.PlatformHandler(in.Log, in.VMs))
	mux.Handle(services.PathWorkers, in.Workers.Handler())
	mux.Handle(services.PathWorkers+"/", in.Workers.Handler())
	return mux
}
