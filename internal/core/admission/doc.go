// Package admission decides which requests wait, which are refused at once and
// which team's request starts next. There is one Queue per service on each entry
// node.
//
// Teams are served in proportion to their weights, measured in slot time (weighted
// fair queueing). A running request is charged for its run time as it runs. While it
// runs it is also charged its team's mean run time, so that neither long requests nor
// many concurrent ones give a team more than its share. A team without waiting
// requests accumulates no claim to later service.
//
// A queue has a bound for all teams together and one for each team. When it is full,
// a request of the team with the most waiting requests per weight is evicted. A
// request that is not expected to start in time, judged by the observed service, is
// refused at once.
//
// The package is deterministic: times and seeds are passed in as arguments. A Queue
// is not safe for concurrent use.
package admission
