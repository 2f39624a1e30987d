// Package limits measures the split of limits over entry nodes: how much of a
// limit can be used when the balancer is skewed, how long a lost node's part is
// out of use, and what loans cost in bytes and processor time at several sizes
// of the fleet. It drives one limit.State per node by events on a virtual
// clock; messages arrive at once. The even split is the baseline in each run.
package limits
