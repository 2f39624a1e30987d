package share

import "github.com/sardinehead/sardinehead/internal/vocab"

// NodeBound returns a node's share of a fleet-wide bound on waiting requests. One half
// of the bound is split evenly over the members, the other half in proportion to
// demand. While the nodes have the same reports, their shares add up to no more than
// the total, except that every share is at least 1.
func NodeBound(total, members int, own, fleet float64) int {
	even := float64(total) / float64(max(1, members))
	bound := even
	if fleet > 0 {
		bound = even/2 + float64(total)/2*min(1, own/fleet)
	}
	return max(1, int(bound))
}

// Demand returns the demand for slots of a pool at this node and at all nodes.
func (s *State) Demand(id vocab.PoolID) (own, fleet float64) {
	p, ok := s.pools[id]
	if !ok {
		return 0, 0
	}
	for _, r := range p.sorted {
		fleet += r.demand
		if r.node == s.self {
			own += r.demand
		}
	}
	return own, fleet
}
