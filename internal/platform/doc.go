// Package platform groups what the gateway's programs stand on: settings of a node (nodesettings), the file on disk
// (storage), links between processes (peer), error kinds (apierror), counters (metrics), starting and ending (lifecycle),
// what the kernel knows of a socket before the process does (tcpstate), how far a process runs behind its timers
// (lateness), connections of HTTP clients and their end (httpconn).
// It holds no code itself.
package platform
