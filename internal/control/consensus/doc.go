// Package consensus replicates one log of changes among a few controllers: terms, votes, and entries that are durable on
// a majority of the voters before they count. A Replica is a value fed with events; it does no I/O, reads no clock and
// starts no goroutine. The caller stores what Output says, sends its messages and reports what became durable.
//
// The protocol is Raft with these choices:
//
//   - Membership is changed by joint consensus (see Membership): an entry takes effect as soon as it is in the log, and
//     only a leader that has committed an entry of its own term may append one.
//   - A replica's identity belongs to its disk. A machine whose disk was lost is a new replica, and is voted in in place
//     of the old one; it never votes under an identity whose votes it has forgotten.
//   - A candidate first asks whether it would be elected (pre-vote), and a replica that hears a leader answers no, so that
//     one that was cut off or removed does not depose a leader.
//   - Learners receive the log and are counted in nothing.
//   - Logs are sent in batches of bounded size and snapshots in chunks, which carry a sum and are resumed where they were
//     broken off, while new entries go on.
package consensus
