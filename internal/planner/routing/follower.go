package routing

// Follower follows discovery by its calls: one watch, and a fetch where that is needed. It knows which answers count, and
// leaves open when to ask again.
type Follower struct {
	calls          Calls
	revision       int64
	lastCall       uint64
	watch          uint64 // the call that watches; 0: none
	watchStarted   bool   // it has been answered
	watchDelivered bool   // it has told of something
	previousWatch  uint64 // the watch at discovery's former address, while the new one is not answered; 0: none
	fetch          uint64
}

// NewFollower returns one that starts from a revision.
func NewFollower(calls Calls, revision int64) *Follower {
	return &Follower{calls: calls, revision: revision}
}

// HandleList says whether an answer of discovery counts.
func (f *Follower) HandleList(e ListReceived) bool {
	switch e.Call {
	case f.previousWatch:
	case f.watch:
		renumbered := !f.watchDelivered && e.List.Revision < f.revision
		if f.watchDelivered = true; renumbered && !e.List.Complete && f.fetch == 0 {
			f.StartFetch() // another service than the one that the list held is from: its changes don't build on that
		}
	case f.fetch:
		f.fetch = 0
		if f.watch != 0 && f.watchDelivered && e.List.Revision < f.revision {
			return false // the watch is ahead of it
		}
	default:
		return false
	}
	f.revision = e.List.Revision
	return true
}

// HandleFailure notes that a call has ended. It says whether that was a call which counted, and whether it was the watch.
func (f *Follower) HandleFailure(e CallFailed) (current, wasWatch bool) {
	switch e.Call {
	case f.watch:
		f.watch = 0
		return true, true
	case f.previousWatch:
		f.previousWatch = 0
		return false, false // the one that comes in its place has been asked for
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

// HandleMove asks at discovery's new address at once. A watch that stands at the former one is believed until the new one
// is answered, or the former one ends: guards against drains that are missed in between.
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

// StartFetch asks for the whole list.
func (f *Follower) StartFetch() {
	f.lastCall++
	f.fetch = f.lastCall
	f.calls.Fetch(f.fetch)
}

// StartWatch asks for the changes after the last revision, unless a watch stands.
func (f *Follower) StartWatch() {
	if f.watch == 0 {
		f.lastCall++
		f.watch, f.watchStarted, f.watchDelivered = f.lastCall, false, false
		f.calls.Watch(f.watch, f.revision)
	}
}

// Revision is that of the list last taken.
func (f *Follower) Revision() int64 { return f.revision }
