package cores

// channelBudget deals the planner's channel to the cores, as shares of 1. Its one invariant: what cores may be using, taken at
// its worst, never sums up to more than the whole. A core that was told a smaller share may go on with the larger one until
// it confirms, and lines that wait count as used although the share that let them in has shrunk; so a share is taken away
// first and given to others only once it is known to be free.
type channelBudget struct {
	queue   float64 // lines that may wait in the whole channel
	pace    float64 // lines a millisecond
	holders []holder
}

// holder is a core's part of the budget.
type holder struct {
	live        bool
	share       float64 // the share last told
	number      uint64  // and its number: a share that comes back to an earlier value is another one
	maxUsed     float64 // the share it may be using: the larger of the one it confirmed and those told since
	waiting     float64 // lines that wait for its proxies, as it said last
	leftover    float64 // lines that a core cut off may have left in the channel
	leftoverFor float64 // how long these count on, in milliseconds
}

const (
	// floorShare of an even share is kept for each core, however little it needs: so none is starved for good.
	floorShare = 0.5
	// trustedPace of its usual pace is what the channel is trusted to keep, as in the module.
	trustedPace = 0.5
	// minShareChange is the least change of a share that is told.
	minShareChange = 0.005
)

func newChannelBudget(cores int, queue, linesPerSec float64) *channelBudget {
	b := &channelBudget{queue: max(1, queue), pace: linesPerSec / 1000, holders: make([]holder, cores)}
	for i := range b.holders {
		b.holders[i] = holder{live: true, share: 1 / float64(cores), maxUsed: 1 / float64(cores)}
	}
	return b
}

// reserved is what a holder may be using at its worst.
func (b *channelBudget) reserved(h holder) float64 {
	return max(h.share, h.maxUsed, h.waiting/b.queue) + h.leftover/b.queue
}

// confirm takes a core's report on the share that it works with and the lines that wait for its proxies.
func (b *channelBudget) confirm(core int, number uint64, waiting float64) {
	h := &b.holders[core]
	if !h.live {
		return
	}
	h.waiting = waiting
	if number == h.number {
		h.maxUsed = h.share
	}
}

// remove ends a core. What it may have put into the channel goes on counting until the channel must have sent all that can
// have waited then: its lines may be the last of them.
func (b *channelBudget) remove(core int) {
	h := &b.holders[core]
	if h.live {
		*h = holder{leftover: b.reserved(*h) * b.queue, number: h.number + 1}
		if b.pace > 0 {
			h.leftoverFor = b.queue / (b.pace * trustedPace)
		}
	}
}

// add takes a core in. It gets its share by the next deals.
func (b *channelBudget) add(core int) { b.holders[core].live = true }

// drain lets time pass: what a core that was cut off has left is sent.
func (b *channelBudget) drain(span float64) {
	for i := range b.holders {
		h := &b.holders[i]
		if h.leftoverFor -= span; h.leftoverFor <= 0 {
			h.leftover, h.leftoverFor = 0, 0
		}
	}
}

// allocate sets the shares anew by what the cores need, of any unit. It returns the cores whose share is to be told. A target
// is reached in two deals once the words between them have come: the first takes away, the second gives what is free then.
func (b *channelBudget) allocate(needs []float64) (changed []int) {
	targets := b.targets(needs)
	free := 1.0
	for i, h := range b.holders {
		if h.live && targets[i] < h.share-minShareChange {
			b.holders[i].share = targets[i] // used stays until it is confirmed
			b.holders[i].number++
			changed = append(changed, i)
		}
		free -= b.reserved(b.holders[i])
	}
	wanted := 0.0
	for i, h := range b.holders {
		if h.live {
			wanted += max(0, targets[i]-h.share)
		}
	}
	if free <= minShareChange || wanted <= 0 {
		return changed
	}
	for i := range b.holders {
		h := &b.holders[i]
		more := 0.0
		if h.live {
			more = max(0, targets[i]-h.share) * min(1, free/wanted)
		}
		if more > minShareChange || more > 0 && h.share == 0 {
			h.share += more
			h.number++
			h.maxUsed = max(h.maxUsed, h.share)
			changed = append(changed, i)
		}
	}
	return changed
}

// targets is what each core should have: its floor, and of the rest its part of the need.
func (b *channelBudget) targets(needs []float64) []float64 {
	live, total := 0.0, 0.0
	for i, h := range b.holders {
		if h.live {
			live++
			total += max(0, needs[i])
		}
	}
	targets := make([]float64, len(b.holders))
	for i, h := range b.holders {
		switch {
		case !h.live:
		case total > 0:
			targets[i] = floorShare/live + (1-floorShare)*max(0, needs[i])/total
		default:
			targets[i] = 1 / live
		}
	}
	return targets
}
