// Package world holds the tests of the whole reducer. Several copies of
// core.State run against small fakes of what lies behind their effects: the
// log, the VM list, the platform's orders, upstreams and the network between
// nodes. Time is virtual and everything that happens follows from one seed.
// The package has no code outside its tests.
package world
