// Package membership decides which controllers vote in the consensus: when a voter is replaced and by which standby, and when
// a change in progress is adopted or abandoned. A Manager processes the leader's current state (View) and returns at most one
// action at a time. The consensus keeps every change safe, regardless of the decisions made here.
//
// A replica is identified by its Identity, which belongs to a disk: a machine that lost its disk runs another replica. The
// rules, in order: a leader that is shutting down transfers leadership; a change in progress is ended before another begins;
// a voter that is shutting down, lost its disk or was unreachable for ReplaceAfter is replaced, if there is a standby; voters
// are added up to the wanted number; votes are balanced over the zones. docs/membership.md has the reasons.
package membership
