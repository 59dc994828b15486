package bench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"

	"mulleinwood/tables"
)

// stressTableSize is the number of servers from which the random tables are drawn.
const stressTableSize = 6

// StressVersions delivers updates over channels that randomly lose, duplicate, delay, truncate and corrupt them, mixed with
// updates of other proxies and incarnations. After each delivery it checks that the receiver holds either no table or the
// table that was sent under its version. It returns the number of failed checks.
func StressVersions(deliveries int, seed uint64) (mismatches int64) {
	workers := runtime.NumCPU()
	var mismatchCount atomic.Int64
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() { mismatchCount.Add(stressChannel(deliveries/workers+1, rand.New(rand.NewPCG(seed, uint64(w))))) })
	}
	group.Wait()
	return mismatchCount.Load()
}

func stressChannel(deliveries int, rng *rand.Rand) (mismatches int64) {
	now, incarnation := 0.0, uint64(1)
	origin := tables.Origin{Instance: "n0", Incarnation: incarnation}
	sender, other := tables.NewSender(origin, 1, nil), tables.NewSender(origin, 2, nil)
	receiver := tables.NewReceiver(1, nil)
	receiver.StreamStarted(now, origin)
	sent := map[uint64]tables.Table{}
	var delayed [][]byte
	deliver := func(text []byte) {
		if deliveries--; len(text) == 0 {
			return
		}
		receiver.ApplyEncoded(now, text)
		table, at := receiver.Table()
		if want, known := sent[at.Number]; at.Number > 0 &&
			(!known || at.Origin != origin || at.Proxy != 1 || !table.Equal(want)) {
			mismatches++
		}
	}
	draw := func() tables.Table {
		t := tables.New()
		for i := range stressTableSize {
			if rng.IntN(2) == 0 {
				t.Weights[fmt.Sprint("s-", i)] = float32(1 + rng.IntN(4))
			}
		}
		return t
	}
	for deliveries > 0 {
		now += 50
		if rng.IntN(500) == 0 { // the planner restarts with the next incarnation
			incarnation++
			origin.Incarnation = incarnation
			sender, other = tables.NewSender(origin, 1, nil), tables.NewSender(origin, 2, nil)
			sent = map[uint64]tables.Table{}
			receiver.StreamStarted(now, origin)
		}
		u, err := sender.Next(draw(), rng.IntN(20) == 0)
		if err != nil {
			return mismatches
		}
		table, at := sender.Table()
		if sent[at.Number] = table; at.Number > 200 {
			delete(sent, at.Number-200) // no receiver is that far behind, since it requests a resend below
		}
		text := u.Append(nil, nil)
		if foreign, err := other.Next(draw(), true); err == nil && rng.IntN(10) == 0 {
			deliver(foreign.Append(nil, nil))
		}
		switch rng.IntN(8) {
		case 0:
		case 1:
			deliver(text)
			deliver(text)
		case 2:
			delayed = append(delayed, text)
		case 3:
			deliver(text[:rng.IntN(len(text))])
		case 4:
			text[rng.IntN(len(text))] ^= 1 << rng.IntN(8)
			deliver(text)
		default:
			deliver(text)
		}
		if n := len(delayed); n > 0 && rng.IntN(4) == 0 {
			i := rng.IntN(n)
			deliver(delayed[i])
			delayed[i] = delayed[n-1]
			delayed = delayed[:n-1]
		}
		if a, due := receiver.NextResendRequest(now); due {
			for _, u := range sender.Resend(a) {
				deliver(u.Append(nil, nil))
			}
		}
	}
	return mismatches
}
