// Package simulation tests the whole reducer in a simulated cluster. Several instances of
// core.State run against fakes of the log, the VM list, the platform's orders, the
// upstreams and the network between nodes. Time is virtual and each simulation is
// deterministic for its seed. The package consists of tests only.
package simulation
