// Package shares measures the decisions on shares and overload: how close each
// team comes to weighted max-min in windows of ten seconds, what a spike of
// demand does to the work done, and how long urgent requests wait. It drives
// one copy of the decision code per entry node by events in virtual time, with
// a model of the delays between nodes, and compares it in the same run with
// fairness on each node alone and with first come, first served.
package shares
