// Package limit decides how much this entry node may have running, so that the
// totals of the fleet hold over all nodes at every moment.
//
// An account is something with a total: the upper limit of a team or the slots
// of a VM. Every member of the fleet has a home part of every account: a pure
// function of the total and of the members, so it is neither stored nor
// agreed. A node lends what it does not need to nodes that do.
//
// Parts change with the records of the log, which nodes read at different
// times. A node keeps, for each account, its home parts at all offsets of a
// window. The window ends at the offset it has folded and starts at the offset
// that every other member has confirmed. The node uses no more than the
// smallest home part in the window. The windows of any two nodes overlap, so
// all windows have an offset in common, and at that offset the home parts add
// up to the total. The sum of what is in use is therefore never above it.
//
// State is local to one process and is not safe for concurrent use.
package limit
