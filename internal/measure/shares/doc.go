// Package shares measures the decisions on shares and overload: how close each
// team comes to its weighted max-min share in windows of ten seconds, which
// fraction of the requests is served when demand has spikes, and how long
// urgent requests wait. It drives one copy of the decision code per entry node
// by events in virtual time, with modelled delays between nodes. The baselines
// in the same run are fairness on each node alone and first come, first served.
package shares
