package controller

import (
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/storage"
)

// store gathers what has to become durable while the disk is at work, so that one sync serves all of it.
type store struct {
	pending []*storage.Batch // of the consensus, in order
	after   []func(bool)
	records []idempotency.Record
	servers []registry.Entry
	claimed []func(bool)
	lazy    time.Duration // since when lines wait that nobody waits for; 0: none do
	busy    bool
	again   time.Duration // not before, after a failure
	failing bool
	mean    float64 // milliseconds of the last writes
}

// took is how many milliseconds a write takes lately.
func (s *store) took() float64 { return s.mean }

// idleAgree tells that nothing of the consensus waits for the disk.
func (s *store) idleAgree() bool { return !s.busy && len(s.pending) == 0 }

func (s *store) agree(b *storage.Batch, done func(bool)) {
	s.pending = append(s.pending, b)
	s.after = append(s.after, done)
}

// record makes a record of the claim store durable; done hears whether it is. A line that nobody waits for rides along with
// the next sync, or with one of its own a little later: syncs are what the disk and the processor spend.
func (s *store) record(r idempotency.Record, now time.Duration, done func(bool)) {
	s.records = append(s.records, r)
	if done != nil {
		s.claimed = append(s.claimed, done)
	} else if s.lazy == 0 {
		s.lazy = now
	}
}

// server keeps what is known of servers, for a start after all have lost power: beats alone would bring them back one by
// one, and the first of them would get all the traffic.
func (s *store) server(entries []registry.Entry, now time.Duration) {
	s.servers = append(s.servers, entries...)
	if s.lazy == 0 && len(entries) > 0 {
		s.lazy = now
	}
}

// due tells whether anything has to go to the disk now.
func (s *store) due(now time.Duration) bool {
	return len(s.pending) > 0 || len(s.claimed) > 0 || len(s.records)+len(s.servers) > 0 && now-s.lazy >= lazyMost
}

func (c *Controller) put(b *storage.Batch, done func(bool)) {
	if done == nil {
		done = func(bool) {}
	}
	c.store.agree(b, done)
}

// run hands the disk what has gathered, if it is free. A disk that refuses keeps the consensus's part waiting: nothing
// of it may be told or dropped. Claims are refused at once: other claim stores can take them.
func (s *store) run(c *Controller) {
	if s.busy || !s.due(c.now()) || c.now() < s.again && len(s.records) == 0 {
		return
	}
	if s.failing && c.now() < s.again {
		claimed := s.claimed
		s.records, s.claimed, s.lazy = nil, nil, 0
		for _, done := range claimed {
			done(false)
		}
		return
	}
	pending, after, records, claimed := s.pending, s.after, s.records, s.claimed
	s.pending, s.after, s.records, s.claimed, s.busy, s.lazy = nil, nil, nil, nil, true, 0
	batches, servers := pending, s.servers
	s.servers = nil
	if len(records)+len(servers) > 0 {
		batches = append(batches[:len(batches):len(batches)], &storage.Batch{Claims: records, Servers: servers})
	}
	began := c.now()
	go func() {
		err := c.storage.Commit(batches)
		spent := c.now() - began
		c.metrics.Syncs.Observe(spent.Seconds())
		c.do(func() {
			s.busy = false
			s.mean += 0.2 * (float64(spent.Microseconds())/1000 - s.mean)
			if err != nil {
				if !s.failing {
					_ = c.logger.Log("event", "disk refuses", "cause", err)
				}
				s.failing, s.again = true, c.now()+storeAgain
				s.pending, s.after = append(pending, s.pending...), append(after, s.after...)
				s.servers = append(servers, s.servers...)
			} else {
				if s.failing {
					_ = c.logger.Log("event", "disk takes writes again")
				}
				s.failing = false
				for _, done := range after {
					done(true)
				}
			}
			for _, done := range claimed {
				done(err == nil)
			}
		})
	}()
}
