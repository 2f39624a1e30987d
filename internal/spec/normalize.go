package spec

import (
	"cmp"
	"slices"
)

// Normalized returns a copy whose slices are sorted by name and never nil, so
// that equal configurations encode to equal bytes, also after encoding to JSON
// and back. Request rules keep their order, which has meaning.
func (f *Fleet) Normalized() Fleet {
	out := *f
	out.Regions = sortedCopyBy(f.Regions, func(r Region) string { return string(r.Name) })
	for i := range out.Regions {
		out.Regions[i].Zones = sortedCopy(out.Regions[i].Zones)
	}
	out.Teams = sortedCopyBy(f.Teams, func(t Team) string { return string(t.Name) })
	out.Pools = sortedCopyBy(f.Pools, func(p Pool) string { return string(p.Name) })
	for i := range out.Pools {
		out.Pools[i].Zones = sortedCopy(out.Pools[i].Zones)
	}
	out.Services = sortedCopyBy(f.Services, func(s Service) string { return string(s.Queue) })
	for i := range out.Services {
		normalizeService(&out.Services[i])
	}
	return out
}

func normalizeService(s *Service) {
	s.Teams = sortedCopy(s.Teams)
	s.Requests = append([]RequestRule{}, s.Requests...)
	for i := range s.Requests {
		s.Requests[i].Methods = sortedCopy(s.Requests[i].Methods)
	}
}

// sortedCopy returns a sorted copy that is never nil.
func sortedCopy[T cmp.Ordered](in []T) []T {
	out := append([]T{}, in...)
	slices.Sort(out)
	return out
}

// sortedCopyBy returns a copy that is sorted by name and never nil.
func sortedCopyBy[T any](in []T, name func(T) string) []T {
	out := append([]T{}, in...)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}
