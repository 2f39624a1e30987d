package slopes

import (
	"strings"

	"github.com/sardinehead/sardinehead/internal/core/task"
)

// Role is the cost of one role of a node at the design size.
type Role struct {
	Name string
	// Nodes describes which nodes have the role.
	Nodes string
	// State describes the state that the role keeps in memory.
	State string
	// SentBytes and ReceivedBytes are bytes per second, CPUMicros is µs per second,
	// and MemoryBytes is bytes.
	SentBytes, ReceivedBytes, CPUMicros, MemoryBytes float64
	// EventCost describes the cost of one event.
	EventCost string
	// Mechanism describes how the role is implemented.
	Mechanism string
	// ScalesWithWork is true if the cost grows with the requests and tasks of callers
	// rather than with the fleet. The page compares such roles with the budget for
	// control too.
	ScalesWithWork bool
	// SumsOtherRoles is true if the row is the sum of other rows, and so is excluded
	// from the total.
	SumsOtherRoles bool
	// Remedy describes a change that would bring the role within the budget.
	Remedy string
}

// OverBudget returns the names of the resources that exceed the budget of a node.
func (r Role) OverBudget() []string {
	var resources []string
	if r.SentBytes > budgetBytesPerSecond || r.ReceivedBytes > budgetBytesPerSecond {
		resources = append(resources, "bytes")
	}
	if r.CPUMicros > budgetCores*1e6 {
		resources = append(resources, "processor")
	}
	if r.MemoryBytes > budgetMemoryBytes {
		resources = append(resources, "memory")
	}
	return resources
}

// Verdict returns the text that compares the role with the budget.
func (r Role) Verdict() string {
	if exceeded := r.OverBudget(); len(exceeded) > 0 {
		return "**over**: " + strings.Join(exceeded, ", ")
	}
	if r.SentBytes+r.ReceivedBytes+r.CPUMicros == 0 {
		return "cost by event only"
	}
	return "within"
}

// perSecond converts a number per day to a number per second.
func perSecond(perDay float64) float64 {
	return perDay / secondsPerDay
}

// pollCost returns the traffic in bytes per second, and the processor time in µs per
// second, of empty reads from the platform at the given rate.
func (r Report) pollCost(perSecond float64) (sent, received, cpu float64) {
	return perSecond * r.Platform.RequestBytes, perSecond * r.Platform.ResponseBytes, perSecond * r.Platform.CPUMicros
}

// roles returns all roles in the order of the page.
func (r Report) roles() []Role {
	return []Role{
		r.entryRole(), r.forwardingRole(), r.gossipRole(), r.configRole(), r.limitsRole(), r.sharesRole(),
		r.plannerRole(), r.listRole(), r.peersRole(), r.ownerRole(), r.followerRole(), r.appendRole(), r.operatorsRole(),
	}
}

func (r Report) entryRole() Role {
	cost, _ := r.Requests.CPUPerRequest()
	return Role{
		Name: "entry (requests)", Nodes: "every node", State: "waiting and running requests", ScalesWithWork: true,
		MemoryBytes: r.atDesignSize("waiting-heap"),
		EventCost:   "a request " + cost.String() + ", of which decisions " + formatFigure(r.atDesignSize("request")) + " µs",
		Mechanism:   "`core/admission`: a bounded queue for each service, teams served by share; no append and no message for a request",
	}
}

func (r Report) forwardingRole() Role {
	return Role{
		Name: "forwarding", Nodes: "every node", State: "connections to upstreams, at most 64 to a VM over the fleet", ScalesWithWork: true,
		EventCost: "part of the request's cost above",
		Mechanism: "`forward`: one streamed attempt at a time; `core/routing`: the better of two VMs; `core/retry`: budget of retries",
	}
}

func (r Report) gossipRole() Role {
	bytes := r.atDesignSize("gossip-bytes")
	bytesPerSecond := gossipFanout * (bytes + r.Peer.RequestBytes + bytes + r.Peer.ResponseBytes)
	return Role{
		Name: "membership and gossip", Nodes: "every node", State: "newest report of each process", MemoryBytes: 0,
		SentBytes: bytesPerSecond, ReceivedBytes: bytesPerSecond, CPUMicros: gossipFanout * r.atDesignSize("exchange-cpu"),
		EventCost: "an exchange " + formatFigure(r.atDesignSize("exchange-cpu")) + " µs on both sides together; while 64 VMs leave and 64 keys end " +
			formatBytes(gossipFanout*(2*r.atDesignSize("gossip-bytes-facts")+r.Peer.RequestBytes+r.Peer.ResponseBytes)) + "/s",
		Mechanism: "`core/gossip`: two exchanges a second, reports of at most 700 bytes in a message; `core/membership`: silence and witnesses; `peer`: twirp",
		Remedy:    "one exchange a second with twice the silence limit, or a message without the demands that did not change",
	}
}

func (r Report) configRole() Role {
	bytes := perSecond(configChangesPerDay)*r.atDesignSize("config-bytes-teams") + r.atDesignSize("snapshot-bytes-teams")/snapshotInterval.Seconds()
	records := 0.0
	for _, load := range r.fleetRecordLoads() {
		records += perSecond(load.OrdinaryPerDay)
	}
	sent, received, cpu := r.pollCost(1/fleetReadInterval.Seconds() + records)
	return Role{
		Name: "configuration", Nodes: "every node", State: "folded fleet stream: configuration, keys, members, ledger",
		SentBytes: sent + r.atDesignSize("snapshot-bytes-teams")/snapshotInterval.Seconds()/designNodes, ReceivedBytes: received + bytes,
		CPUMicros:   cpu + perSecond(configChangesPerDay)*r.atDesignSize("config-fold") + records*r.atDesignSize("digest"),
		MemoryBytes: r.atDesignSize("shared-heap"),
		EventCost:   "fold " + formatFigure(r.atDesignSize("config-fold")) + " µs, digest " + formatFigure(r.atDesignSize("digest")) + " µs, restore " + formatFigure(r.atDesignSize("restore")) + " µs",
		Mechanism:   "`core/shared`: the whole configuration in each publish record, read by long poll of 2 s; snapshot on the log each 10 minutes",
		Remedy:      "publish records that hold the difference from their base",
	}
}

// loanExchangeCPUMicros returns the processor time per second of the exchanges that
// transfer loans. Two messages make one exchange.
func (r Report) loanExchangeCPUMicros() float64 {
	return r.atDesignSize("loan-messages") / 2 * r.Peer.CPUMicros
}

func (r Report) limitsRole() Role {
	return Role{
		Name: "limits (windows, loans)", Nodes: "every node", State: "home part, loans and demand of each team and VM",
		SentBytes: r.atDesignSize("loan-bytes"), ReceivedBytes: r.atDesignSize("loan-bytes"), CPUMicros: r.atDesignSize("loan-cpu") + r.loanExchangeCPUMicros(),
		EventCost: "demands steady: " + formatFigure(r.atDesignSize("loan-bytes-steady")) + " bytes/s",
		Mechanism: "`core/limit`: each node has a part of each limit without asking, and borrows for a lease",
		Remedy:    "fewer asks for the same tokens: one ask to a peer for all accounts in a round, longer leases while demand is steady",
	}
}

// peersRole returns the sum of the traffic between nodes.
func (r Report) peersRole() Role {
	gossip, limits := r.gossipRole(), r.limitsRole()
	return Role{
		Name: "peers' traffic", Nodes: "every node", State: "one connection to each peer that is called", SumsOtherRoles: true,
		SentBytes: gossip.SentBytes + limits.SentBytes, ReceivedBytes: gossip.ReceivedBytes + limits.ReceivedBytes, CPUMicros: gossip.CPUMicros + r.loanExchangeCPUMicros(),
		EventCost: "gossip and loans together; a snapshot of " + formatBytes(r.atDesignSize("snapshot-bytes-teams")) + " to a node that starts without the log",
		Mechanism: "`peer`: twirp over HTTP, each call with a MAC under the secret that all nodes share",
		Remedy:    "as for gossip and loans; loans carried by the exchange of gossip save their headers",
	}
}

func (r Report) sharesRole() Role {
	return Role{
		Name: "shares, and all decisions of a second", Nodes: "every node", State: "the whole reducer: demand of each team at each pool, VMs, queues",
		CPUMicros: r.atDesignSize("second-teams"), MemoryBytes: r.atDesignSize("reducer-heap"),
		EventCost: "ten ticks with limits, shares, gossip and plan " + formatFigure(r.atDesignSize("second-teams")) + " µs",
		Mechanism: "`core/share`: weighted max-min targets once a second from what gossip told; it has no messages of its own",
	}
}

func (r Report) plannerRole() Role {
	return Role{
		Name: "planner (maintenance, moves)", Nodes: "every node plans, the owner acts", State: "ledger, demand of pools, watched VMs",
		CPUMicros: r.atDesignSize("plan-vms") / planInterval.Seconds(), MemoryBytes: r.atDesignSize("plan-heap"),
		SentBytes:     (perSecond(4*maintainedVMsPerDay) + 1/plannerHeartbeatInterval.Seconds()) * r.Platform.RequestBytes,
		ReceivedBytes: (perSecond(4*maintainedVMsPerDay) + 1/plannerHeartbeatInterval.Seconds()) * r.Platform.ResponseBytes,
		EventCost:     "a plan " + formatFigure(r.atDesignSize("plan-vms")) + " µs, each 5 s, at most once a second",
		Mechanism:     "`core/maintenance`: one owner by claim on the log, every node keeps the plan ready; orders carry the epoch",
		Remedy:        "plan on the owner and its successor only",
	}
}

func (r Report) listRole() Role {
	// A failure changes the list once, a restart twice and maintenance three times.
	changes := perSecond(failedVMsPerDay + 2*restartedVMsPerDay + 3*maintainedVMsPerDay)
	rowBytes := r.slope("vm-list-bytes").Fit().PerUnit
	sent, received, cpu := r.pollCost(1/vmReadInterval.Seconds() + changes)
	return Role{
		Name: "VM list", Nodes: "every node", State: "the list as read, and what is concluded of each VM",
		SentBytes: sent, ReceivedBytes: received + changes*rowBytes, CPUMicros: cpu + changes*r.atDesignSize("vm-list"),
		EventCost: "a reading with a change " + formatFigure(r.atDesignSize("vm-list")) + " µs; the list in full " + formatFigure(r.atDesignSize("vm-list-bytes")) + " bytes, at the start only",
		Mechanism: "`core/observe`: long poll of 2 s for the changes since a version",
	}
}

func (r Report) ownerRole() Role {
	starts := tasksPerSecond
	reports := tasksPerSecond // workers report each end immediately
	renewals := float64(designVMs) / leaseRenewInterval.Seconds()
	exchanges := starts + reports + renewals
	renewBytes := r.atDesignSize("renew-bytes")
	return Role{
		Name: "task owner (placement, leases, reports)", Nodes: "one node", ScalesWithWork: true, State: "workers, waiting and running tasks, leases",
		SentBytes:     exchanges*r.Platform.RequestBytes + starts*startOrderBytes() + renewals*renewBytes/2,
		ReceivedBytes: exchanges*r.Platform.ResponseBytes + reports*r.atDesignSize("usage-bytes") + renewals*renewBytes/2,
		CPUMicros:     r.atDesignSize("owner-cpu") + exchanges*r.Platform.CPUMicros,
		MemoryBytes:   r.atDesignSize("owner-heap"),
		EventCost:     "decisions of a second " + formatFigure(r.atDesignSize("owner-cpu")) + " µs; " + formatFigure(exchanges) + " exchanges a second with workers",
		Mechanism:     "`core/task`, `core/placement`: one owner of the stream by claim on the log; a start, a report and a renewal are an exchange each with one worker",
		Remedy:        "several streams of tasks, each with an owner on another node; reports of many workers in one read; starts and renewals of a worker in one order",
	}
}

func (r Report) followerRole() Role {
	bytes, count := 0.0, 0.0
	for _, load := range taskRecordLoads() {
		bytes += perSecond(load.OrdinaryPerDay) * load.Bytes
		count += perSecond(load.OrdinaryPerDay)
	}
	bytes += r.atDesignSize("task-snapshot-bytes") * taskSnapshotsPerSecond
	foldMicros := r.slope("task-fold").Fit().PerUnit
	// A read returns as soon as there are records, so the actual rate of reads is
	// higher; its bytes are few compared with those of the records.
	sent, received, cpu := r.pollCost(1 / taskReadInterval.Seconds())
	idle := formatFigure(sent) + " bytes/s sent and " + formatFigure(received) + " received without any task"
	return Role{
		Name: "following the tasks", Nodes: "every node", ScalesWithWork: true, State: "ledger of all tasks of the last day",
		SentBytes: sent, ReceivedBytes: received + bytes, CPUMicros: cpu + count*foldMicros,
		MemoryBytes: r.slope("task-heap").Fit().PerUnit * tasksPerSecond * secondsPerDay,
		EventCost:   "a record " + formatFigure(foldMicros) + " µs; " + idle,
		Mechanism:   "`core/task`: every node reads the whole stream, so that any can answer for a task and take over",
		Remedy:      "several streams, each followed by its owner and one successor; ended tasks kept in the snapshot only; a shorter time for which results are known",
	}
}

func (r Report) appendRole() Role {
	tasks, fleet := r.appendsPerSecond()
	bytes := 0.0
	for _, load := range taskRecordLoads() {
		bytes += perSecond(load.OrdinaryPerDay) * load.Bytes / designNodes
	}
	perNode := tasks / designNodes
	return Role{
		Name: "log (appends)", Nodes: "every node", ScalesWithWork: true, State: "records that wait for the log",
		SentBytes: perNode*r.Platform.RequestBytes + bytes, ReceivedBytes: perNode * r.Platform.ResponseBytes,
		CPUMicros: perNode * r.atDesignSize("append-cpu"),
		EventCost: formatFigure(tasks) + " appends a second for tasks at most, " + formatFigure(fleet) + " for the rest",
		Mechanism: "`core/task`: one append of up to 2,000 records at a time, " + task.AppendInterval(designNodes, 1).String() + " apart; `node`: batches for the fleet stream",
		Remedy:    "bytes of the tasks themselves: bodies kept elsewhere; an append only when a record waits already keeps an idle node silent",
	}
}

func (r Report) operatorsRole() Role {
	return Role{
		Name: "operators' commands", Nodes: "the node that is asked", State: "none",
		EventCost: "a dump " + formatFigure(r.atDesignSize("dump-bytes")) + " bytes, on demand",
		Mechanism: "`entry` operators' side: status, dump and explain read the state between two steps",
	}
}

// startOrderBytes returns the encoded size of an order that starts one task.
func startOrderBytes() float64 {
	return jsonBytes(workerOrder("start", 1))
}

// controlTotal returns the sum of the roles whose cost does not depend on the work of
// callers. It excludes the processor time of limits and plans, which the slope of all
// decisions in one second already contains.
func (r Report) controlTotal() Role {
	sum := Role{Name: "all control of a node without tasks", Nodes: "every node"}
	for _, role := range r.roles() {
		if role.ScalesWithWork || role.SumsOtherRoles {
			continue
		}
		sum.SentBytes += role.SentBytes
		sum.ReceivedBytes += role.ReceivedBytes
		switch role.Name {
		case r.limitsRole().Name, r.plannerRole().Name:
		default:
			sum.CPUMicros += role.CPUMicros
		}
	}
	// The task stream and the list of workers are polled even if there are no tasks.
	sent, received, cpu := r.pollCost(1/taskReadInterval.Seconds() + 1/vmReadInterval.Seconds())
	sum.SentBytes += sent
	sum.ReceivedBytes += received
	sum.CPUMicros += cpu + r.loanExchangeCPUMicros()
	sum.MemoryBytes = r.atDesignSize("reducer-heap")
	sum.Remedy = "the rows above, loans and gossip first"
	return sum
}
