package slopes

import "github.com/sardinehead/sardinehead/internal/measure/limits"

// loanCosts returns slopes of the loans between nodes at 570 teams and 1,600 VMs.
// Package limits counts the bytes with its own constants for the size of message
// headers.
func loanCosts(seed uint64) []Slope {
	busy := Slope{Name: "loan-bytes", Title: "loans of one node for one second, demands drawn anew every 10 s", Axis: "nodes", Unit: "bytes/s", DesignSize: designNodes}
	steady := Slope{Name: "loan-bytes-steady", Title: "loans of one node for one second, demands steady", Axis: "nodes", Unit: "bytes/s", DesignSize: designNodes}
	cpu := Slope{Name: "loan-cpu", Title: "decisions on limits of one node for one second", Axis: "nodes", Unit: "µs", MachineDependent: true, DesignSize: designNodes}
	messages := Slope{Name: "loan-messages", Title: "messages of loans that one node sends in one second, answers included", Axis: "nodes", Unit: "messages/s", DesignSize: designNodes}
	for _, c := range limits.Run(seed, []int{3, 8, 16, 32}).Costs {
		busy.add(c.Nodes, c.BytesPerSecond)
		steady.add(c.Nodes, c.SteadyBytesPerSecond)
		messages.add(c.Nodes, c.MessagesPerSecond)
		cpu.add(c.Nodes, c.CPUFraction*1e6)
	}
	return []Slope{busy, steady, messages, cpu}
}
