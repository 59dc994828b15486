package routing

// Follower tracks the calls to discovery: one watch, and a fetch when needed. It decides which results are current; its
// caller decides when to retry.
type Follower struct {
	calls          Calls
	revision       int64
	lastCall       uint64
	watch          uint64 // call number of the current watch; 0: none
	watchStarted   bool   // discovery has accepted the watch
	watchDelivered bool   // the watch has delivered a list or a change
	previousWatch  uint64 // the watch at discovery's previous address, until the new one is accepted; 0: none
	fetch          uint64
}

// NewFollower returns a Follower whose first watch starts from a revision.
func NewFollower(calls Calls, revision int64) *Follower {
	return &Follower{calls: calls, revision: revision}
}

// HandleList reports whether a list from discovery is current and must be applied.
func (f *Follower) HandleList(e ListReceived) bool {
	switch e.Call {
	case f.previousWatch:
	case f.watch:
		renumbered := !f.watchDelivered && e.List.Revision < f.revision
		if f.watchDelivered = true; renumbered && !e.List.Complete && f.fetch == 0 {
			f.StartFetch() // another service with its own revisions: its changes don't apply to the list that is held
		}
	case f.fetch:
		f.fetch = 0
		if f.watch != 0 && f.watchDelivered && e.List.Revision < f.revision {
			return false // the watch has delivered a newer revision
		}
	default:
		return false
	}
	f.revision = e.List.Revision
	return true
}

// HandleFailure records that a call has ended. It returns whether the call was current, and whether it was the watch.
func (f *Follower) HandleFailure(e CallFailed) (current, wasWatch bool) {
	switch e.Call {
	case f.watch:
		f.watch = 0
		return true, true
	case f.previousWatch:
		f.previousWatch = 0
		return false, false // its replacement has already been requested
	case f.fetch:
		f.fetch = 0
		return true, false
	}
	return false, false
}

// HandleWatchStarted notes that discovery has accepted a watch and reports whether it is the current one. A watch at
// discovery's previous address is cancelled only now, so that no change is missed.
func (f *Follower) HandleWatchStarted(e WatchStarted) bool {
	if e.Call != f.watch {
		return false
	}
	f.watchStarted = true
	if f.previousWatch != 0 {
		f.calls.Cancel(f.previousWatch)
		f.previousWatch = 0
	}
	return true
}

// HandleMove repeats the calls at discovery's new address at once. An accepted watch at the previous address remains valid
// until the new one is accepted or the previous one ends, so that no drain is missed in between.
func (f *Follower) HandleMove(e DiscoveryMoved) {
	f.calls.SetDiscovery(e.Discovery)
	switch {
	case f.watch != 0 && f.watchStarted:
		if f.previousWatch != 0 {
			f.calls.Cancel(f.previousWatch)
		}
		f.previousWatch = f.watch
	case f.watch != 0:
		f.calls.Cancel(f.watch)
	}
	f.watch = 0
	f.StartWatch()
	if f.fetch != 0 {
		f.calls.Cancel(f.fetch)
		f.StartFetch()
	}
}

// StartFetch requests the complete list.
func (f *Follower) StartFetch() {
	f.lastCall++
	f.fetch = f.lastCall
	f.calls.Fetch(f.fetch)
}

// StartWatch requests the changes after the last revision, unless there is a watch.
func (f *Follower) StartWatch() {
	if f.watch == 0 {
		f.lastCall++
		f.watch, f.watchStarted, f.watchDelivered = f.lastCall, false, false
		f.calls.Watch(f.watch, f.revision)
	}
}

// Revision returns the revision of the last list that was applied.
func (f *Follower) Revision() int64 { return f.revision }
