// Package admission decides which requests wait, which are refused at once and
// which team's request goes next. One Queue stands for one service on one
// entry node.
//
// Teams are served in proportion to their weights, measured in slot time.
// Running requests are charged while they run, and each one is charged a usual
// run in advance, so that neither long requests nor many at once get more than
// the team's part. A team that had nothing waiting earns no credit.
//
// A queue is bounded for all teams together and for each team. When it is full,
// the team with the most waiting for its weight gives way. A request that
// cannot start in time, judged by the service observed, is refused at once.
//
// The package is pure: time and seeds arrive as arguments. A Queue is not safe
// for concurrent use.
package admission
