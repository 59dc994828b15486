package simulation

import (
	"maps"
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
)

// disk is what a controller's machine holds durably.
type disk struct {
	identity   string
	founders   []string // the voters that the cluster started with, where the disk knows them
	membership consensus.Membership
	hard       consensus.HardState
	snap       consensus.Snapshot
	log        []consensus.Entry
	records    []idempotency.Record
	blank      bool // the store of claims grants nothing yet
	servers    map[string]registry.Entry
}

func emptyDisk() disk { return disk{servers: map[string]registry.Entry{}} }

// write is a batch on its way to a disk: durable as a whole or not at all, and in order.
type write struct {
	at    time.Duration
	store func(*disk)
	done  func(ok bool)
	must  bool // waits until the disk takes it, while the disk is full
}

// persist puts a write behind those that wait for the disk. A full disk refuses it.
func (w *cluster) persist(n *controller, store func(*disk), done func(ok bool)) {
	w.enqueue(n, write{store: store, done: done})
}

// persistSurely is persist for what must not be refused: it waits until the disk takes it.
func (w *cluster) persistSurely(n *controller, store func(*disk), then func()) {
	w.enqueue(n, write{store: store, done: func(bool) { then() }, must: true})
}

func (w *cluster) enqueue(n *controller, one write) {
	takes := time.Duration(1+w.rng.IntN(4)) * time.Millisecond
	if n.slowDiskUntil > w.now {
		takes *= 25
	}
	one.at = w.now + takes
	if len(n.queue) > 0 {
		one.at = max(one.at, n.queue[len(n.queue)-1].at)
	}
	n.queue = append(n.queue, one)
}

// writeDue does the writes whose time has come.
func (w *cluster) writeDue(n *controller) {
	for len(n.queue) > 0 && n.queue[0].at <= w.now {
		one := n.queue[0]
		if n.fullDiskUntil > w.now && one.must {
			n.queue[0].at = w.now + 100*time.Millisecond
			return
		}
		n.queue = n.queue[1:]
		if n.fullDiskUntil > w.now {
			one.done(false)
			continue
		}
		one.store(&n.disk)
		one.done(true)
	}
}

// losePower drops the writes that wait for the disk. The first of them may have become durable although nobody was told.
func (w *cluster) losePower(n *controller) {
	if n.fullDiskUntil <= w.now && len(n.queue) > 0 {
		for _, one := range n.queue[:w.rng.IntN(len(n.queue)+1)] {
			one.store(&n.disk)
		}
	}
	n.queue = nil
}

// storeOutput brings what the consensus says onto the disk.
func (d *disk) storeOutput(out consensus.Output, fault string) {
	if out.HardState != nil {
		d.hard = *out.HardState
	}
	if out.Snapshot != nil {
		d.snap, d.log = *out.Snapshot, nil
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
