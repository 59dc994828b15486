package simulation

import (
	"maps"
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
)

// disk is the durable state of a controller.
type disk struct {
	identity        string
	bootstrapVoters []string // the voters at bootstrap, if known
	membership      consensus.Membership
	hardState       consensus.HardState
	snapshot        consensus.Snapshot
	log             []consensus.Entry
	records         []idempotency.Record
	recovering      bool // the claim store grants nothing until it has recovered
	servers         map[string]registry.Entry
}

func emptyDisk() disk { return disk{servers: map[string]registry.Entry{}} }

// write is a batch that waits for a disk. It becomes durable as a whole or not at all, and in order.
type write struct {
	completesAt time.Duration
	store       func(*disk)
	onDone      func(ok bool)
	mustSucceed bool // retried until it succeeds while the disk is full
}

// persist queues a write. It fails if the disk is full.
func (w *cluster) persist(n *controller, store func(*disk), onDone func(ok bool)) {
	w.enqueue(n, write{store: store, onDone: onDone})
}

// persistRetrying queues a write that is retried until it succeeds.
func (w *cluster) persistRetrying(n *controller, store func(*disk), onDone func()) {
	w.enqueue(n, write{store: store, onDone: func(bool) { onDone() }, mustSucceed: true})
}

func (w *cluster) enqueue(n *controller, pending write) {
	latency := time.Duration(1+w.rng.IntN(4)) * time.Millisecond
	if n.slowDiskUntil > w.now {
		latency *= 25
	}
	pending.completesAt = w.now + latency
	if len(n.pendingWrites) > 0 {
		pending.completesAt = max(pending.completesAt, n.pendingWrites[len(n.pendingWrites)-1].completesAt)
	}
	n.pendingWrites = append(n.pendingWrites, pending)
}

// writeDue completes the writes that are due.
func (w *cluster) writeDue(n *controller) {
	for len(n.pendingWrites) > 0 && n.pendingWrites[0].completesAt <= w.now {
		pending := n.pendingWrites[0]
		if n.fullDiskUntil > w.now && pending.mustSucceed {
			n.pendingWrites[0].completesAt = w.now + 100*time.Millisecond
			return
		}
		n.pendingWrites = n.pendingWrites[1:]
		if n.fullDiskUntil > w.now {
			pending.onDone(false)
			continue
		}
		pending.store(&n.disk)
		pending.onDone(true)
	}
}

// losePower drops the pending writes. A random number of the first ones may have become durable without confirmation.
func (w *cluster) losePower(n *controller) {
	if n.fullDiskUntil <= w.now && len(n.pendingWrites) > 0 {
		for _, pending := range n.pendingWrites[:w.rng.IntN(len(n.pendingWrites)+1)] {
			pending.store(&n.disk)
		}
	}
	n.pendingWrites = nil
}

// storeOutput applies an output of the consensus to the disk.
func (d *disk) storeOutput(out consensus.Output, fault string) {
	if out.HardState != nil {
		d.hardState = *out.HardState
	}
	if out.Snapshot != nil {
		d.snapshot, d.log = *out.Snapshot, nil
		if fault == "a snapshot drops the log after it" {
			return
		}
	}
	if out.Truncate > 0 {
		d.log = slices.DeleteFunc(d.log, func(e consensus.Entry) bool { return e.Index >= out.Truncate })
	}
	d.log = append(d.log, out.Entries...)
}

func sortedKeys[V any](m map[uint64]V) []uint64 { return slices.Sorted(maps.Keys(m)) }
