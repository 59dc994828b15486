// Package cores divides one planner among several cores: it assigns each proxy to a core, allocates the planner's channel
// to the cores, detects late cores and reassigns their proxies.
//
// The types are deterministic state machines: the caller passes events with their times and executes the returned
// commands. The package opens no sockets, starts no goroutines and reads no clock. Times are in milliseconds.
package cores
