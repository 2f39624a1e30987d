// Package limits measures the division of limits over entry nodes: which
// fraction of a limit is usable when the balancer is skewed, how long the quota
// of a lost node is unavailable, and what loans cost in bytes and processor
// time at several sizes of the fleet. It drives one limit.State per node by
// events on a virtual clock; messages arrive at once. The baseline is an even
// split without loans.
package limits
