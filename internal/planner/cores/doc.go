// Package cores decides how one planner is divided among several cores: which core decides for which proxy, what each may
// use of the planner's budgets, when a core is late and what becomes of its proxies.
//
// Everything here is a value that is fed with what happened and when; it knows no socket, no goroutine and no clock. A
// host carries its commands out. Times are in milliseconds.
package cores
