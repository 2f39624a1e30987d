package slopes

import (
	"strings"

	"github.com/sardinehead/sardinehead/internal/core/task"
)

// Role is what one role costs one node at the design size.
type Role struct {
	Name string
	// On tells which nodes have the role.
	On string
	// State names what is kept.
	State string
	// Sent and Received are bytes a second, CPU is µs a second, and Memory is
	// bytes.
	Sent, Received, CPU, Memory float64
	// Event is the processor time of one event, in words.
	Event string
	// Mechanism carries the role.
	Mechanism string
	// Work is set if the role grows with the callers' work and not with the
	// fleet; the budget for control is shown beside it all the same.
	Work bool
	// Sum is set if the row adds up others, and so is left out of the total.
	Sum bool
	// Mend tells what would bring a row within the budget.
	Mend string
}

// Over lists what is over the budget of a node.
func (r Role) Over() []string {
	var out []string
	if r.Sent > budgetBytes || r.Received > budgetBytes {
		out = append(out, "bytes")
	}
	if r.CPU > budgetCore*1e6 {
		out = append(out, "processor")
	}
	if r.Memory > budgetMemory {
		out = append(out, "memory")
	}
	return out
}

// Verdict sets the role beside the budget, in words.
func (r Role) Verdict() string {
	if over := r.Over(); len(over) > 0 {
		return "**over**: " + strings.Join(over, ", ")
	}
	if r.Sent+r.Received+r.CPU == 0 {
		return "cost by event only"
	}
	return "within"
}

// perSecond turns a number a day into one a second.
func perSecond(perDay float64) float64 {
	return perDay / secondsPerDay
}

// polls returns the traffic and cost of empty reads a second.
func (r Report) polls(perSecond float64) (sent, received, cpu float64) {
	return perSecond * r.Platform.Request, perSecond * r.Platform.Response, perSecond * r.Platform.CPU
}

// roles returns all roles.
func (r Report) roles() []Role {
	return []Role{
		r.entryRole(), r.forwardingRole(), r.gossipRole(), r.configRole(), r.limitsRole(), r.sharesRole(),
		r.plannerRole(), r.listRole(), r.peersRole(), r.ownerRole(), r.followerRole(), r.appendRole(), r.operatorsRole(),
	}
}

func (r Report) entryRole() Role {
	cost, _ := r.Requests.Cost()
	return Role{
		Name: "entry (requests)", On: "every node", State: "waiting and running requests", Work: true,
		Memory:    r.at("waiting-heap"),
		Event:     "a request " + cost.String() + ", of which decisions " + figure(r.at("request")) + " µs",
		Mechanism: "`core/admission`: a bounded queue for each service, teams served by share; no append and no message for a request",
	}
}

func (r Report) forwardingRole() Role {
	return Role{
		Name: "forwarding", On: "every node", State: "connections to upstreams, at most 64 to a VM over the fleet", Work: true,
		Event:     "part of the request's cost above",
		Mechanism: "`forward`: one streamed attempt at a time; `core/routing`: the better of two VMs; `core/retry`: budget of retries",
	}
}

func (r Report) gossipRole() Role {
	bytes := r.at("gossip-bytes")
	each := gossipFanout * (bytes + r.Peer.Request + bytes + r.Peer.Response)
	return Role{
		Name: "membership and gossip", On: "every node", State: "newest report of each process", Memory: 0,
		Sent: each, Received: each, CPU: gossipFanout * r.at("exchange-cpu"),
		Event: "an exchange " + figure(r.at("exchange-cpu")) + " µs on both sides together; while 64 VMs leave and 64 keys end " +
			sizeText(gossipFanout*(2*r.at("gossip-bytes-facts")+r.Peer.Request+r.Peer.Response)) + "/s",
		Mechanism: "`core/gossip`: two exchanges a second, reports of at most 700 bytes in a message; `core/membership`: silence and witnesses; `peer`: twirp",
		Mend:      "one exchange a second with twice the silence limit, or a message without the demands that did not change",
	}
}

func (r Report) configRole() Role {
	bytes := perSecond(configsPerDay)*r.at("config-bytes-teams") + r.at("snapshot-bytes-teams")/snapshotEvery.Seconds()
	records := 0.0
	for _, k := range r.fleetKinds() {
		records += perSecond(k.Ordinary)
	}
	sent, received, cpu := r.polls(1/fleetReadEvery.Seconds() + records)
	return Role{
		Name: "configuration", On: "every node", State: "folded fleet stream: configuration, keys, members, ledger",
		Sent: sent + r.at("snapshot-bytes-teams")/snapshotEvery.Seconds()/designNodes, Received: received + bytes,
		CPU:       cpu + perSecond(configsPerDay)*r.at("config-fold") + records*r.at("digest"),
		Memory:    r.at("shared-heap"),
		Event:     "fold " + figure(r.at("config-fold")) + " µs, digest " + figure(r.at("digest")) + " µs, restore " + figure(r.at("restore")) + " µs",
		Mechanism: "`core/shared`: the whole configuration in each publish record, read by long poll of 2 s; snapshot on the log each 10 minutes",
		Mend:      "publish records that hold the difference from their base",
	}
}

// loanExchanges returns the processor time of the exchanges that carry loans;
// two messages are one exchange.
func (r Report) loanExchanges() float64 {
	return r.at("loan-messages") / 2 * r.Peer.CPU
}

func (r Report) limitsRole() Role {
	return Role{
		Name: "limits (windows, loans)", On: "every node", State: "home part, loans and demand of each team and VM",
		Sent: r.at("loan-bytes"), Received: r.at("loan-bytes"), CPU: r.at("loan-cpu") + r.loanExchanges(),
		Event:     "demands steady: " + figure(r.at("loan-bytes-steady")) + " bytes/s",
		Mechanism: "`core/limit`: each node has a part of each limit without asking, and borrows for a lease",
		Mend:      "fewer asks for the same tokens: one ask to a peer for all accounts in a round, longer leases while demand is steady",
	}
}

// peersRole adds up what nodes tell each other.
func (r Report) peersRole() Role {
	a, b := r.gossipRole(), r.limitsRole()
	return Role{
		Name: "peers' traffic", On: "every node", State: "one connection to each peer that is called", Sum: true,
		Sent: a.Sent + b.Sent, Received: a.Received + b.Received, CPU: a.CPU + r.loanExchanges(),
		Event:     "gossip and loans together; a snapshot of " + sizeText(r.at("snapshot-bytes-teams")) + " to a node that starts without the log",
		Mechanism: "`peer`: twirp over HTTP, each call with a MAC under the secret that all nodes share",
		Mend:      "as for gossip and loans; loans carried by the exchange of gossip save their headers",
	}
}

func (r Report) sharesRole() Role {
	return Role{
		Name: "shares, and all decisions of a second", On: "every node", State: "the whole reducer: demand of each team at each pool, VMs, queues",
		CPU: r.at("second-teams"), Memory: r.at("reducer-heap"),
		Event:     "ten ticks with limits, shares, gossip and plan " + figure(r.at("second-teams")) + " µs",
		Mechanism: "`core/share`: weighted max-min targets once a second from what gossip told; it has no messages of its own",
	}
}

func (r Report) plannerRole() Role {
	return Role{
		Name: "planner (maintenance, moves)", On: "every node plans, the owner acts", State: "ledger, demand of pools, watched VMs",
		CPU: r.at("plan-vms") / planEvery.Seconds(), Memory: r.at("plan-heap"),
		Sent:      (perSecond(4*maintainedPerDay) + 1/heartbeatEvery.Seconds()) * r.Platform.Request,
		Received:  (perSecond(4*maintainedPerDay) + 1/heartbeatEvery.Seconds()) * r.Platform.Response,
		Event:     "a plan " + figure(r.at("plan-vms")) + " µs, each 5 s, at most once a second",
		Mechanism: "`core/maintenance`: one owner by claim on the log, every node keeps the plan ready; orders carry the epoch",
		Mend:      "plan on the owner and its successor only",
	}
}

func (r Report) listRole() Role {
	// A failure is a change, a restart two, maintenance three.
	changes := perSecond(failedPerDay + 2*restartedPerDay + 3*maintainedPerDay)
	row := r.slope("vm-list-bytes").Fit().Each
	sent, received, cpu := r.polls(1/vmReadEvery.Seconds() + changes)
	return Role{
		Name: "VM list", On: "every node", State: "the list as read, and what is concluded of each VM",
		Sent: sent, Received: received + changes*row, CPU: cpu + changes*r.at("vm-list"),
		Event:     "a reading with a change " + figure(r.at("vm-list")) + " µs; the list in full " + figure(r.at("vm-list-bytes")) + " bytes, at the start only",
		Mechanism: "`core/observe`: long poll of 2 s for the changes since a version",
	}
}

func (r Report) ownerRole() Role {
	starts := tasksPerSecond
	reports := tasksPerSecond // each end is reported at once
	renewals := float64(designVMs) / leaseRenewEvery.Seconds()
	exchanges := starts + reports + renewals
	renewBytes := r.at("renew-bytes")
	return Role{
		Name: "task owner (placement, leases, reports)", On: "one node", Work: true, State: "workers, waiting and running tasks, leases",
		Sent:      exchanges*r.Platform.Request + starts*startBytes() + renewals*renewBytes/2,
		Received:  exchanges*r.Platform.Response + reports*r.at("usage-bytes") + renewals*renewBytes/2,
		CPU:       r.at("owner-cpu") + exchanges*r.Platform.CPU,
		Memory:    r.at("owner-heap"),
		Event:     "decisions of a second " + figure(r.at("owner-cpu")) + " µs; " + figure(exchanges) + " exchanges a second with workers",
		Mechanism: "`core/task`, `core/placement`: one owner of the stream by claim on the log; a start, a report and a renewal are an exchange each with one worker",
		Mend:      "several streams of tasks, each with an owner on another node; reports of many workers in one read; starts and renewals of a worker in one order",
	}
}

func (r Report) followerRole() Role {
	bytes, count := 0.0, 0.0
	for _, k := range taskKinds() {
		bytes += perSecond(k.Ordinary) * k.Bytes
		count += perSecond(k.Ordinary)
	}
	bytes += r.at("task-snapshot-bytes") * taskSnapshotsPerSecond
	fold := r.slope("task-fold").Fit().Each
	// With records under way a read ends at once, so that there are more reads
	// than these; the bytes of the records outweigh them.
	sent, received, cpu := r.polls(1 / taskReadEvery.Seconds())
	idle := figure(sent) + " bytes/s sent and " + figure(received) + " received without any task"
	return Role{
		Name: "following the tasks", On: "every node", Work: true, State: "ledger of all tasks of the last day",
		Sent: sent, Received: received + bytes, CPU: cpu + count*fold,
		Memory:    r.slope("task-heap").Fit().Each * tasksPerSecond * secondsPerDay,
		Event:     "a record " + figure(fold) + " µs; " + idle,
		Mechanism: "`core/task`: every node reads the whole stream, so that any can answer for a task and take over",
		Mend:      "several streams, each followed by its owner and one successor; ended tasks kept in the snapshot only; a shorter time for which results are known",
	}
}

func (r Report) appendRole() Role {
	tasks, fleet := r.appendsPerSecond()
	bytes := 0.0
	for _, k := range taskKinds() {
		bytes += perSecond(k.Ordinary) * k.Bytes / designNodes
	}
	perNode := tasks / designNodes
	return Role{
		Name: "log (appends)", On: "every node", Work: true, State: "records that wait for the log",
		Sent: perNode*r.Platform.Request + bytes, Received: perNode * r.Platform.Response,
		CPU:       perNode * r.at("append-cpu"),
		Event:     figure(tasks) + " appends a second for tasks at most, " + figure(fleet) + " for the rest",
		Mechanism: "`core/task`: one append of up to 2,000 records at a time, " + task.AppendInterval(designNodes, 1).String() + " apart; `node`: batches for the fleet stream",
		Mend:      "bytes of the tasks themselves: bodies kept elsewhere; an append only when a record waits already keeps an idle node silent",
	}
}

func (r Report) operatorsRole() Role {
	return Role{
		Name: "operators' commands", On: "the node that is asked", State: "none",
		Event:     "a dump " + figure(r.at("dump-bytes")) + " bytes, on demand",
		Mechanism: "`entry` operators' side: status, dump and explain read the state between two steps",
	}
}

func startBytes() float64 {
	return jsonBytes(order("start", 1))
}

// control sums the roles that every node has whatever the callers do. The
// second of all decisions holds the processor time of limits and plans.
func (r Report) control() Role {
	sum := Role{Name: "all control of a node without tasks", On: "every node"}
	for _, role := range r.roles() {
		if role.Work || role.Sum {
			continue
		}
		sum.Sent += role.Sent
		sum.Received += role.Received
		switch role.Name {
		case r.limitsRole().Name, r.plannerRole().Name:
		default:
			sum.CPU += role.CPU
		}
	}
	// The streams and lists of tasks are read whether or not there are any.
	sent, received, cpu := r.polls(1/taskReadEvery.Seconds() + 1/vmReadEvery.Seconds())
	sum.Sent += sent
	sum.Received += received
	sum.CPU += cpu + r.loanExchanges()
	sum.Memory = r.at("reducer-heap")
	sum.Mend = "the rows above, loans and gossip first"
	return sum
}
