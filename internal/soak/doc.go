// Package soak runs a whole gateway as real processes on loopback, injects faults by a schedule, and checks the observations
// of clients, servers and the operator against the rules of the users' pages.
//
//	schedule.go  the events of a run, drawn from a seed before it starts
//	cluster.go   the gateway's processes: signals, restarts, lost disks
//	servers.go   stand-in servers, which record each run
//	clients.go   clients, which record each request
//	operator.go  configuration changes, and reads from every controller
//	record.go    the record of all observations
//	audit.go     the rules; audit_requests.go, audit_servers.go and audit_config.go: one function per rule
//	story.go     the report of a breach: its request, the events around it, the log lines of the processes concerned
//	run.go       one run from its start to its outcome
//	report.go    a line per run
//	page.go      an HTML page about several runs
//
// The auditor sees only the record. Times in a record count from the start of the run, on the monotonic clock.
package soak
