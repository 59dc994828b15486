// Package membership decides which controllers vote in the consensus: when a voter is replaced and by which standby, and when
// a change that is under way is adopted or abandoned. A Manager is a value fed with what the leader sees (View), and answers
// with at most one action at a time; the consensus itself keeps every change safe, whatever is decided here.
//
// A replica is named by its Identity, which belongs to a disk: a machine whose disk was lost comes back as another replica.
// The rules, in order: a leader that shuts down transfers leadership; a change under way is ended before another is begun;
// a voter that shuts down, lost its disk or was unreachable for ReplaceAfter is replaced, if there is a standby; voters are
// added up to the wanted number; votes are spread over the zones. docs/membership.md has the reasons.
package membership
