package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"mulleinwood/internal/nodeprocess"
)

// Figures of the clients.
const (
	connsPerClient     = 4 // kept open, and used in turn: most are idle when an edge is told to end
	minThinkTime       = 20 * time.Millisecond
	maxThinkTime       = 400 * time.Millisecond
	minLeaveDelay      = 40 * time.Millisecond // of a client that leaves, from its request on
	maxLeaveDelay      = 500 * time.Millisecond
	waveSpread         = 300 * time.Millisecond
	maxSends           = 4  // of a keyed operation, until an answer is clear
	repeatEveryNth     = 10 // keyed operations, of which one is sent again after a good answer
	lateRepeatEveryNth = 10 // the same, of which one is sent again long after it, at two edges at once
	minLateRepeat      = minRepeatAge + 100*time.Millisecond
	maxLateRepeat      = minRepeatAge + 1500*time.Millisecond

	// Clients that come while an edge shuts down.
	minArrivalGap   = 10 * time.Millisecond
	maxArrivalGap   = 90 * time.Millisecond
	maxRequestDelay = 250 * time.Millisecond // from the connection to the request
)

// deadlines are the routes' deadlines, which clients state.
var deadlines = map[RequestKind]time.Duration{Lookup: 2 * time.Second, Review: 5 * time.Second, Note: 2 * time.Second,
	Post: 2 * time.Second, Stream: 4 * time.Second, Upload: 4 * time.Second}

// clientPool are the clients of a run.
type clientPool struct {
	recorder *recorder
	edges    []*supervisor
	seed     uint64
	active   sync.WaitGroup

	mu    sync.Mutex
	count int // of attempts and keys, for their names
}

func newClientPool(r *recorder, seed uint64, edges []*supervisor) *clientPool {
	return &clientPool{recorder: r, edges: edges, seed: seed}
}

// nextID names an attempt or a key.
func (c *clientPool) nextID(prefix string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return fmt.Sprintf("%s-%d-%d", prefix, c.seed, c.count)
}

// start starts clients that go on until ctx ends.
func (c *clientPool) start(ctx context.Context, count int) {
	for number := range count {
		one := &client{clientPool: c, number: number, random: rand.New(rand.NewPCG(c.seed, uint64(100+number)))}
		c.active.Go(func() { one.run(ctx) })
	}
}

// startLeavingWave starts clients that send requests which take long, and leave.
func (c *clientPool) startLeavingWave(count int, seed uint64) {
	for number := range count {
		one := &client{clientPool: c, number: number, random: rand.New(rand.NewPCG(c.seed+seed, uint64(10_000+number)))}
		c.active.Go(one.sendAndLeave)
	}
}

// client is one client. It belongs to its goroutine.
type client struct {
	*clientPool
	number int
	random *rand.Rand
	conns  [connsPerClient]*connection
}

// isPinned clients stay with one edge, whatever the platform says of it.
func (c *client) isPinned() bool { return c.number%3 == 0 }

func (c *client) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.random.Int64N(int64(high-low)))
}

// run sends requests of all kinds, on kept connections and new ones, until ctx ends.
func (c *client) run(ctx context.Context) {
	defer func() {
		for _, conn := range c.conns {
			if conn != nil {
				conn.close()
			}
		}
	}()
	for ctx.Err() == nil {
		switch draw := c.random.IntN(20); {
		case draw < 9:
			c.sendKept(Lookup)
		case draw < 11:
			c.sendKept(Review) // what is taken late in a grace, and takes longer than what is left
		case draw < 13:
			c.sendKept(Note)
		case draw < 17:
			c.sendKeyed()
		case draw == 17:
			c.sendKept(Stream)
		case draw == 18:
			c.sendKept(Upload)
		default:
			c.sendAndLeave()
		}
		sleep(ctx, c.between(minThinkTime, maxThinkTime))
	}
}

// pickEdge is the edge that a new connection goes to: one that is ready, if any is, but a stubborn client's own.
func (c *client) pickEdge() *supervisor {
	if c.isPinned() {
		return c.edges[c.number/3%len(c.edges)]
	}
	from := c.random.IntN(len(c.edges))
	for i := range c.edges {
		if edge := c.edges[(from+i)%len(c.edges)]; edge.isReady() {
			return edge
		}
	}
	return c.edges[from]
}

// newRequest begins the record of a request.
func (c *client) newRequest(kind RequestKind, key string) *Request {
	now := c.recorder.now()
	return &Request{ID: c.nextID("a"), Kind: kind, Key: key, StartedAt: now, DeadlineAt: now + deadlines[kind]}
}

func (c *client) finish(request *Request) {
	request.EndedAt = c.recorder.now()
	c.recorder.add(func(all *Record) { all.Requests = append(all.Requests, *request) })
}

// sendKept sends a request on one of the connections that the client keeps.
func (c *client) sendKept(kind RequestKind) {
	c.sendOn(&c.conns[c.random.IntN(connsPerClient)], c.newRequest(kind, ""))
}

// sendOn sends a request on a kept connection, or on a new one that takes its place.
func (c *client) sendOn(kept **connection, request *Request) *Request {
	defer c.finish(request)
	if *kept == nil {
		conn, err := c.open()
		if err != nil {
			request.Failure = err.Error()
			return request
		}
		*kept = conn
	}
	conn := *kept
	request.Edge = conn.edge
	if err := conn.send(c.recorder, request, deadlines[request.Kind]); err != nil && request.Kind != Upload {
		request.Failure = err.Error()
		conn.close()
		*kept = nil
		return request
	}
	if !conn.receive(c.recorder, request) { // also after an upload that was refused before its end
		conn.close()
		*kept = nil
	}
	return request
}

func (c *client) open() (*connection, error) {
	edge := c.pickEdge()
	return connect(edge, nodeprocess.Address(edge.spec.IP, nodeprocess.ClientPort))
}

// sendKeyed sends a keyed operation until its answer is clear, at other edges each time, and now and then once more after that.
func (c *client) sendKeyed() {
	key := c.nextID("k")
	for send := range maxSends {
		var other *connection
		kept := &c.conns[c.random.IntN(connsPerClient)]
		if send > 0 {
			kept = &other
		}
		request := c.sendOn(kept, c.newRequest(Post, key))
		if other != nil {
			other.close()
		}
		again := request.Status != http.StatusOK || !request.Complete
		if !again && hashDraw(key, "late", lateRepeatEveryNth) == 0 {
			c.repeatLate(key)
		}
		if !again && hashDraw(key, "repeat", repeatEveryNth) != 0 {
			return
		}
		time.Sleep(minThinkTime)
	}
}

// repeatLate sends a keyed operation again, long after its good answer, at two edges at once.
func (c *client) repeatLate(key string) {
	seed := c.random.Uint64()
	for range 2 {
		repeat := &client{clientPool: c.clientPool, number: 1, random: rand.New(rand.NewPCG(seed, c.random.Uint64()))}
		c.active.Go(func() {
			time.Sleep(repeat.between(minLateRepeat, maxLateRepeat))
			var conn *connection
			repeat.sendOn(&conn, repeat.newRequest(Post, key))
			if conn != nil {
				conn.close()
			}
		})
	}
}

// connectDuringDrain has clients connect to an edge that was told to end, all the time until it refuses connections: some of them have a
// connection that the edge hasn't accepted, or send their request some time after they connected.
func (c *clientPool) connectDuringDrain(edge *supervisor, seed uint64) {
	one := &client{clientPool: c, random: rand.New(rand.NewPCG(c.seed, 20_000+seed))}
	address := nodeprocess.Address(edge.spec.IP, nodeprocess.ClientPort)
	c.active.Go(func() {
		for until := time.Now().Add(grace); time.Now().Before(until); time.Sleep(one.between(minArrivalGap, maxArrivalGap)) {
			conn, err := connect(edge, address)
			if err != nil {
				return
			}
			requestDelay := max(0, one.between(-maxRequestDelay, maxRequestDelay))
			arrival := &client{clientPool: c, random: one.random}
			c.active.Go(func() {
				time.Sleep(requestDelay)
				request := arrival.newRequest(Lookup, "")
				arrival.sendOn(&conn, request)
				if conn != nil {
					conn.close()
				}
			})
		}
	})
}

// sendAndLeave sends a request that takes long, or a stream, on a new connection, and leaves before it is answered.
func (c *client) sendAndLeave() {
	time.Sleep(c.between(0, waveSpread))
	kind := Review
	if c.random.IntN(4) == 0 {
		kind = Stream
	}
	request := c.newRequest(kind, "")
	defer c.finish(request)
	conn, err := c.open()
	if err != nil {
		request.Failure = err.Error()
		return
	}
	request.Edge = conn.edge
	if err := conn.send(c.recorder, request, deadlines[kind]); err != nil {
		request.Failure = err.Error()
		conn.close()
		return
	}
	time.Sleep(c.between(minLeaveDelay, maxLeaveDelay))
	request.LeftAt = c.recorder.now()
	conn.abort(c.random.Uint64())
}
