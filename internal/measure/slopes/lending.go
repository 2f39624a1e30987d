package slopes

import "github.com/sardinehead/sardinehead/internal/measure/limits"

// loanCosts returns slopes of the loans of limits at 570 teams and 1,600 VMs.
// The measure of limits counts the bytes; it takes the headers of its messages
// from constants of its own.
func loanCosts(seed uint64) []Slope {
	busy := Slope{Name: "loan-bytes", Title: "loans of one node for one second, demands drawn anew every 10 s", Axis: "nodes", Unit: "bytes/s", Design: designNodes}
	steady := Slope{Name: "loan-bytes-steady", Title: "loans of one node for one second, demands steady", Axis: "nodes", Unit: "bytes/s", Design: designNodes}
	cpu := Slope{Name: "loan-cpu", Title: "decisions on limits of one node for one second", Axis: "nodes", Unit: "µs", Timed: true, Design: designNodes}
	messages := Slope{Name: "loan-messages", Title: "messages of loans that one node sends in one second, answers included", Axis: "nodes", Unit: "messages/s", Design: designNodes}
	for _, c := range limits.Run(seed, []int{3, 8, 16, 32}).Costs {
		busy.add(c.Nodes, c.Bytes)
		steady.add(c.Nodes, c.SteadyBytes)
		messages.add(c.Nodes, c.Messages)
		cpu.add(c.Nodes, c.CPU*1e6)
	}
	return []Slope{busy, steady, messages, cpu}
}
