// Package idempotency decides who may run an operation that may run only once. Operations are named by a Key. Each
// controller that votes holds a Store of claims on keys; a Coordinator, at the controller that an edge asks, collects grants
// from the stores until a claim is granted or can't be any more. Both are values fed with events: they do no I/O and read
// no clock.
//
// The algorithm is quorum voting on one register a key. Its invariants:
//
//   - A claim is granted once a majority of the stores holds it durably; while the membership is joint, a majority of the
//     voters before and of the voters after the change. A store holds one claim a key and grants no other, so of two claims
//     of one key at most one is granted.
//   - A store whose disk came back empty is recovering: it grants nothing before it has imported the claims of a majority.
//     Any majority that granted a claim before has a member in that one, so every granted claim is remembered.
//   - Nobody is granted a key that was imported. Two stores may hold two claims of one key, of which one was granted with
//     the vote that is lost; to grant the other would let both run.
//   - A claim is revoked only by its claimant, and only while it is certain that nothing was run under it.
//
// The window of a key counts from when its claim was stored here, by elapsed time on the steady clock; after a restart it
// counts anew, which is longer and safe.
package idempotency
