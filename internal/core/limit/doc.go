// Package limit decides how much work this entry node may have running, so
// that fleet-wide limits hold over all nodes at every moment.
//
// An account is a limit with a total over the fleet: the upper limit of a team
// or the slots of a VM. Every member of the fleet has a base quota of every
// account. The base quota is a pure function of the total and of the members,
// so it is neither stored nor agreed on between nodes. A node lends the quota
// that it does not need to other nodes.
//
// Quotas change with the records of the log, which nodes read at different
// times. For each account, a node keeps its base quotas at all offsets of a
// window. The window ends at the offset that the node has folded and starts at
// the offset that every other member has confirmed. The node uses no more than
// the smallest base quota in the window. The windows of any two nodes overlap,
// so all windows have an offset in common, and at that offset the base quotas
// add up to the total. The sum of what is in use is therefore never above the
// total.
//
// A State belongs to one process and is not safe for concurrent use.
package limit
