package job

import (
	"cmp"
	"slices"
)

// A worker may end while its owner is being replaced, and is then in no list that the next owner
// reads. The job's record therefore says where the workers of suspected and of long-running tasks can
// be reached: whoever responds there shows that the worker has ended. Without that a task is away until the
// longest lease has expired, from each change of owner on, which users of long-running tasks notice.
// Records of other jobs have no hosts, which are cheaper to write; the record of a silent worker says
// where it can be reached.

const (
	// hostsOccurrence marks the row with the hosts. No job has so many occurrences.
	hostsOccurrence = grantsOccurrence + 1
	// maxHosts bounds the workers in a job's record: each takes about 80 bytes.
	maxHosts = 64
)

// host is a worker with tasks of a job.
type host struct {
	Worker      WorkerID  `json:"w"`
	Incarnation Millis    `json:"b,omitempty"`
	Machine     MachineID `json:"m,omitempty"`
	Address     string    `json:"a,omitempty"`
}

func (w *WorkerInfo) host() host { return host{w.ID, w.Incarnation, w.Machine, w.Address} }

// hostRows returns the row with the workers of the job's suspected and long-running tasks, if any.
func (j *activeJob) hostRows() []taskRow {
	if j.assignedTasks == 0 {
		return nil
	}
	var hosts []host
	for _, occ := range j.occurrences.live {
		for _, st := range occ.steps {
			for _, t := range st.tasks {
				if t.crash.Suspected == 0 && !t.step.spec.LongRunning || t.worker == nil || t.worker.info.Address == "" || len(hosts) == maxHosts {
					continue
				}
				info := &t.worker.info
				at, found := slices.BinarySearchFunc(hosts, info.ID, func(h host, id WorkerID) int { return cmp.Compare(h.Worker, id) })
				if !found {
					hosts = slices.Insert(hosts, at, info.host())
				}
			}
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	return []taskRow{{Occurrence: hostsOccurrence, Hosts: hosts}}
}

// inheritHosts makes the workers of a job's tasks known that the platform does not list.
func (o *owner) inheritHosts(rows []taskRow) {
	for _, row := range rows {
		for _, h := range row.Hosts {
			if w := o.workers[h.Worker]; w != nil {
				o.adoptHost(w, h)
			}
		}
	}
}

// adoptHost makes known where a worker can be reached that the platform does not list.
func (o *owner) adoptHost(w *worker, h host) {
	if w.info.Address != "" {
		return
	}
	w.info.Incarnation, w.info.Machine, w.info.Address = h.Incarnation, h.Machine, h.Address
	w.pollBy(o.s.now)
}
