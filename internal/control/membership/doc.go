// Package membership decides which controllers vote in the consensus: when a voter is replaced, by whom, and when a
// change that is under way is adopted or abandoned. A Manager is a value fed with what the leader sees; the consensus
// itself keeps every change safe, whatever is decided here.
package membership
