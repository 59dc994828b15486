// Package idempotency decides which claimant may run an operation that must run at most once. A Key identifies the
// operation. Each voting controller holds a Store of claims on keys. A Coordinator, at the controller that receives the
// request of an edge, collects grants from the stores until the claim is granted or can no longer be granted. Both types
// only process events passed by the caller: they do no I/O and read no clock.
//
// The algorithm is quorum voting on one register per key. Its invariants:
//
//   - A claim is granted once a majority of the stores holds it durably; while the membership is joint, a majority of the
//     voters before and of the voters after the change. A store holds one claim per key and grants no other claim of that
//     key, so of two claims of one key at most one is granted.
//   - A store that lost its disk is recovering: it grants nothing until it has imported the claims of a majority. That
//     majority intersects every majority that granted a claim earlier, so every granted claim is imported.
//   - A store grants no claim on a key that it imported. Two stores may hold two claims of one key, one of which was
//     granted with the vote that is lost; granting the other one would let both run.
//   - A claim is revoked only by its claimant, and only while it is certain that no operation ran under it.
//
// The retention window of a claim starts when the store inserts it and is measured on the monotonic clock. After a restart
// the window starts again, which retains the claim longer and is safe.
package idempotency
