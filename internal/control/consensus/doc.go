// Package consensus replicates a log of changes among a small number of controllers. An entry is committed once it is durable
// on a majority of the voters. A Replica only processes events passed by the caller (Step, Tick, Propose, MarkDurable); it
// does no I/O, reads no clock and starts no goroutine. After events the caller takes the Output, stores its entries and state,
// sends its messages and reports completed writes with MarkDurable.
//
// The protocol is Raft (Ongaro and Ousterhout, 2014, and Ongaro's thesis), with these choices:
//
//   - Membership is changed by joint consensus (see Membership): a membership entry takes effect as soon as it is in the
//     log, and only a leader that has committed an entry of its own term may append one.
//   - A replica's identity belongs to its disk. A machine that lost its disk is a new replica, and becomes a voter in place
//     of the old one; it never votes under an identity whose earlier votes are lost.
//   - A candidate first runs a pre-vote, and a replica in contact with a leader rejects it, so that a partitioned or removed
//     replica does not depose a leader.
//   - Learners receive the log and count toward no quorum.
//   - A leader without contact to a majority for two election timeouts steps down, and a read is served only after a round
//     of messages has confirmed the leadership (ReadIndex).
//   - Logs are sent in batches of bounded size, and snapshots in chunks with a checksum. A snapshot transfer resumes where
//     it was interrupted, and doesn't block the replication of new entries.
//
// The invariants are Raft's: there is at most one leader per term; a leader never changes its log; two logs that agree on the
// term of an entry agree on all entries before it; a leader has every entry that was committed in earlier terms; and all
// replicas apply the same entry at an index. The simulation and the tests of this package check them after every event.
package consensus
