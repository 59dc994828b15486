// Package consensus replicates one log of changes among a few controllers: terms, votes, and entries that are durable on a
// majority of the voters before they are committed. A Replica is a value fed with events (Step, Tick, Propose, MarkDurable);
// it does no I/O, reads no clock and starts no goroutine. After events the caller takes the Output, stores what it says,
// sends its messages and reports what became durable.
//
// The protocol is Raft (Ongaro and Ousterhout, 2014, and Ongaro's thesis), with these choices:
//
//   - Membership is changed by joint consensus (see Membership): an entry takes effect as soon as it is in the log, and
//     only a leader that has committed an entry of its own term may append one.
//   - A replica's identity belongs to its disk. A machine whose disk was lost is a new replica, and becomes a voter in place
//     of the old one; it never votes under an identity whose votes it has forgotten.
//   - A candidate first asks whether it would be elected (pre-vote), and a replica that hears a leader says no, so that one
//     that was cut off or removed does not depose a leader.
//   - Learners receive the log and are counted in nothing.
//   - A leader that hears no majority for two election timeouts steps down, and reads are answered only after a round of
//     messages has shown that the leader still leads (ReadIndex).
//   - Logs are sent in batches of bounded size and snapshots in chunks, which carry a checksum and are resumed where they
//     were broken off, while new entries go on.
//
// The invariants are Raft's: at most one leader a term; a leader never changes its log; two logs that agree on the term of
// an entry agree on all entries before; a leader has every entry that was committed in earlier terms; and replicas that
// apply an entry at an index apply the same one. The simulation and the tests of this package check them after every event.
package consensus
