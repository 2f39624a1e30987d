package share

import "github.com/sardinehead/sardinehead/internal/vocab"

// Bound returns a node's part of a bound on waiting requests that holds for the
// whole fleet: one half is split evenly over the members, the other half in
// proportion to demand. The parts of all nodes add up to no more than the total
// while their reports agree, except that every part is at least 1.
func Bound(total, members int, own, fleet float64) int {
	even := float64(total) / float64(max(1, members))
	part := even
	if fleet > 0 {
		part = even/2 + float64(total)/2*min(1, own/fleet)
	}
	return max(1, int(part))
}

// Demand returns this node's demand for slots of a pool and that of all nodes.
func (s *State) Demand(id vocab.PoolID) (own, fleet float64) {
	p, ok := s.pools[id]
	if !ok {
		return 0, 0
	}
	for _, r := range p.order {
		fleet += r.demand
		if r.node == s.self {
			own += r.demand
		}
	}
	return own, fleet
}
