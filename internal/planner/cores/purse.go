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

// holder is a core's standing with the purse.
type holder struct {
	live    bool
	told    float64 // the share last told
	deal    uint64  // and its number: a share that comes back to an earlier value is another one
	used    float64 // the share it may be using: the larger of the one it confirmed and those told since
	waiting float64 // lines that wait for its proxies, as it said last
	left    float64 // lines that a core cut off may have left in the channel
	until   float64 // how long these count on, in milliseconds
}

const (
	// floorPart of an even share is kept for each core, however little it needs: so none is starved for good.
	floorPart = 0.5
	// paceKept of its usual pace is what the channel is trusted to keep, as in the module.
	paceKept = 0.5
	// minShare is the least change of a share that is told.
	minShare = 0.005
)

func newChannelBudget(cores int, queue, linesPerSec float64) *channelBudget {
	p := &channelBudget{queue: max(1, queue), pace: linesPerSec / 1000, holders: make([]holder, cores)}
	for i := range p.holders {
		p.holders[i] = holder{live: true, told: 1 / float64(cores), used: 1 / float64(cores)}
	}
	return p
}

// reserved is what a holder may be using at its worst.
func (p *channelBudget) reserved(h holder) float64 {
	return max(h.told, h.used, h.waiting/p.queue) + h.left/p.queue
}

// confirmed takes a core's word on the share that it works with and the lines that wait for its proxies.
func (p *channelBudget) confirmed(core int, deal uint64, waiting float64) {
	h := &p.holders[core]
	if !h.live {
		return
	}
	h.waiting = waiting
	if deal == h.deal {
		h.used = h.told
	}
}

// cut ends a core. What it may have put into the channel goes on counting until the channel must have sent all that can
// have waited then: its lines may be the last of them.
func (p *channelBudget) cut(core int) {
	h := &p.holders[core]
	if h.live {
		*h = holder{left: p.reserved(*h) * p.queue, deal: h.deal + 1}
		if p.pace > 0 {
			h.until = p.queue / (p.pace * paceKept)
		}
	}
}

// begin takes a core in. It gets its share by the next deals.
func (p *channelBudget) begin(core int) { p.holders[core].live = true }

// drain lets time pass: what a core that was cut off has left is sent.
func (p *channelBudget) drain(span float64) {
	for i := range p.holders {
		h := &p.holders[i]
		if h.until -= span; h.until <= 0 {
			h.left, h.until = 0, 0
		}
	}
}

// deal sets the shares anew by what the cores need, of any unit. It returns the cores whose share is to be told. A target
// is reached in two deals once the words between them have come: the first takes away, the second gives what is free then.
func (p *channelBudget) deal(needs []float64) (changed []int) {
	targets := p.targets(needs)
	free := 1.0
	for i, h := range p.holders {
		if h.live && targets[i] < h.told-minShare {
			p.holders[i].told = targets[i] // used stays until it is confirmed
			p.holders[i].deal++
			changed = append(changed, i)
		}
		free -= p.reserved(p.holders[i])
	}
	wanted := 0.0
	for i, h := range p.holders {
		if h.live {
			wanted += max(0, targets[i]-h.told)
		}
	}
	if free <= minShare || wanted <= 0 {
		return changed
	}
	for i := range p.holders {
		h := &p.holders[i]
		more := 0.0
		if h.live {
			more = max(0, targets[i]-h.told) * min(1, free/wanted)
		}
		if more > minShare || more > 0 && h.told == 0 {
			h.told += more
			h.deal++
			h.used = max(h.used, h.told)
			changed = append(changed, i)
		}
	}
	return changed
}

// targets is what each core should have: its floor, and of the rest its part of the need.
func (p *channelBudget) targets(needs []float64) []float64 {
	live, sum := 0.0, 0.0
	for i, h := range p.holders {
		if h.live {
			live++
			sum += max(0, needs[i])
		}
	}
	targets := make([]float64, len(p.holders))
	for i, h := range p.holders {
		switch {
		case !h.live:
		case sum > 0:
			targets[i] = floorPart/live + (1-floorPart)*max(0, needs[i])/sum
		default:
			targets[i] = 1 / live
		}
	}
	return targets
}
