package cores

// channelBudget allocates the planner's channel to the cores, in shares of 1. Its invariant: the worst-case use of all cores
// never exceeds the whole channel. A core may use its former, larger share until it confirms the smaller one, and buffered
// lines count as used even if the share that admitted them has shrunk. A share is therefore reduced first, and allocated
// to other cores only once it is confirmed to be free.
type channelBudget struct {
	queueLines    float64 // capacity of the whole channel, in lines
	linesPerMilli float64 // usual throughput, in lines per millisecond
	holders       []holder
}

// holder is the part of the budget that one core holds.
type holder struct {
	live           bool
	share          float64 // latest share sent to the core
	shareNumber    uint64  // number of that share; it also distinguishes equal shares sent at different times
	maxInUse       float64 // largest share that the core may be using: the confirmed one or one sent since
	queuedLines    float64 // lines buffered for its proxies, as last reported
	leftoverLines  float64 // lines that an isolated core may have left in the channel
	leftoverMillis float64 // remaining time in which leftoverLines count as used
}

const (
	// minShareRatio is the part of an even share that each core keeps even without demand, so that no core starves.
	minShareRatio = 0.5
	// trustedPaceRatio is the part of its usual throughput that the channel is assumed to reach. The decision module
	// assumes the same.
	trustedPaceRatio = 0.5
	// minShareChange is the smallest change of a share that is sent to a core.
	minShareChange = 0.005
)

func newChannelBudget(cores int, queueLines, linesPerSec float64) *channelBudget {
	b := &channelBudget{queueLines: max(1, queueLines), linesPerMilli: linesPerSec / 1000, holders: make([]holder, cores)}
	for i := range b.holders {
		b.holders[i] = holder{live: true, share: 1 / float64(cores), maxInUse: 1 / float64(cores)}
	}
	return b
}

// reserved returns the worst-case use of a holder, as a share of the channel.
func (b *channelBudget) reserved(h holder) float64 {
	return max(h.share, h.maxInUse, h.queuedLines/b.queueLines) + h.leftoverLines/b.queueLines
}

// confirm records the number of the share that a core uses and the lines buffered for its proxies.
func (b *channelBudget) confirm(core int, number uint64, queuedLines float64) {
	h := &b.holders[core]
	if !h.live {
		return
	}
	h.queuedLines = queuedLines
	if number == h.shareNumber {
		h.maxInUse = h.share
	}
}

// remove takes a core's share away. The lines that the core may have left in the channel count as used until the channel
// must have sent a full queue, since they may be the last ones in it.
func (b *channelBudget) remove(core int) {
	h := &b.holders[core]
	if h.live {
		*h = holder{leftoverLines: b.reserved(*h) * b.queueLines, shareNumber: h.shareNumber + 1}
		if b.linesPerMilli > 0 {
			h.leftoverMillis = b.queueLines / (b.linesPerMilli * trustedPaceRatio)
		}
	}
}

// add makes a core live. It gets its share by the next allocations.
func (b *channelBudget) add(core int) { b.holders[core].live = true }

// advance moves time forward and frees the leftover lines of isolated cores that must have been sent.
func (b *channelBudget) advance(elapsed float64) {
	for i := range b.holders {
		h := &b.holders[i]
		if h.leftoverMillis -= elapsed; h.leftoverMillis <= 0 {
			h.leftoverLines, h.leftoverMillis = 0, 0
		}
	}
}

// allocate recomputes the shares from the cores' needs, which may be in any unit. It returns the cores whose share has
// changed. A target takes two allocations with the cores' confirmations in between: the first reduces shares, the second
// hands out the share that has become free.
func (b *channelBudget) allocate(needs []float64) (changed []int) {
	targets := b.targets(needs)
	free := 1.0
	for i, h := range b.holders {
		if h.live && targets[i] < h.share-minShareChange {
			b.holders[i].share = targets[i] // maxInUse stays until the core confirms the new share
			b.holders[i].shareNumber++
			changed = append(changed, i)
		}
		free -= b.reserved(b.holders[i])
	}
	requested := 0.0
	for i, h := range b.holders {
		if h.live {
			requested += max(0, targets[i]-h.share)
		}
	}
	if free <= minShareChange || requested <= 0 {
		return changed
	}
	for i := range b.holders {
		h := &b.holders[i]
		increase := 0.0
		if h.live {
			increase = max(0, targets[i]-h.share) * min(1, free/requested)
		}
		if increase > minShareChange || increase > 0 && h.share == 0 {
			h.share += increase
			h.shareNumber++
			h.maxInUse = max(h.maxInUse, h.share)
			changed = append(changed, i)
		}
	}
	return changed
}

// targets returns the share that each core should have: its minimum, and a part of the remainder in proportion to its need.
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
			targets[i] = minShareRatio/live + (1-minShareRatio)*max(0, needs[i])/total
		default:
			targets[i] = 1 / live
		}
	}
	return targets
}
