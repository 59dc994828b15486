// Package control groups the controller's packages: the runtime (controller) and the deciders that it feeds. consensus
// agrees on the history of changes and statemachine is what it leads to; registry knows the servers and broadcast spreads
// updates on them; idempotency lets keyed operations run once; weights decides the edges' shares; reservation keeps capacity
// that is booked ahead. Only controller does I/O. It holds no code itself.
package control
