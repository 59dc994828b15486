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

// Parameters of the clients.
const (
	connsPerClient     = 4 // kept open and used at random, so that most are idle when an edge starts to drain
	minThinkTime       = 20 * time.Millisecond
	maxThinkTime       = 400 * time.Millisecond
	minLeaveDelay      = 40 * time.Millisecond // between the request of a leaving client and its disconnect
	maxLeaveDelay      = 500 * time.Millisecond
	waveSpread         = 300 * time.Millisecond
	maxSends           = 4  // attempts of a keyed operation until a response is conclusive
	repeatEveryNth     = 10 // one in so many keyed operations is repeated after a successful response
	lateRepeatEveryNth = 10 // one in so many keyed operations is repeated twice at once, long after a successful response
	minLateRepeat      = minRepeatAge + 100*time.Millisecond
	maxLateRepeat      = minRepeatAge + 1500*time.Millisecond
	// One in oldRepeatEveryNth keyed operations is repeated at an age of up to maxOldRepeat, after losses that came meanwhile.
	oldRepeatEveryNth = 4
	maxOldRepeat      = 40 * time.Second

	// Parameters of clients that connect to a draining edge.
	minArrivalGap   = 10 * time.Millisecond
	maxArrivalGap   = 90 * time.Millisecond
	maxRequestDelay = 250 * time.Millisecond // between the connection and the request
)

// deadlines contains the deadlines of the routes, which clients state in their requests.
var deadlines = map[RequestKind]time.Duration{Lookup: 2 * time.Second, Review: 5 * time.Second, Note: 2 * time.Second,
	Post: 2 * time.Second, Stream: 4 * time.Second, Upload: 4 * time.Second}

// clientPool contains the clients of a run.
type clientPool struct {
	recorder *recorder
	edges    []*supervisor
	seed     uint64
	active   sync.WaitGroup

	mu    sync.Mutex
	count int // of attempts and keys, for unique IDs
}

func newClientPool(r *recorder, seed uint64, edges []*supervisor) *clientPool {
	return &clientPool{recorder: r, edges: edges, seed: seed}
}

// nextID returns a new ID of an attempt or an operation key.
func (c *clientPool) nextID(prefix string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return fmt.Sprintf("%s-%d-%d", prefix, c.seed, c.count)
}

// start starts clients that run until ctx ends.
func (c *clientPool) start(ctx context.Context, count int) {
	for number := range count {
		one := &client{clientPool: c, number: number, random: rand.New(rand.NewPCG(c.seed, uint64(100+number)))}
		c.active.Go(func() { one.run(ctx) })
	}
}

// startLeavingWave starts clients that send slow requests and disconnect before the response.
func (c *clientPool) startLeavingWave(count int, seed uint64) {
	for number := range count {
		one := &client{clientPool: c, number: number, random: rand.New(rand.NewPCG(c.seed+seed, uint64(10_000+number)))}
		c.active.Go(one.sendAndLeave)
	}
}

// client is a single client. Only its own goroutine may use it.
type client struct {
	*clientPool
	number int
	random *rand.Rand
	conns  [connsPerClient]*connection
}

// isPinned reports whether the client always uses the same edge, even if that edge isn't ready.
func (c *client) isPinned() bool { return c.number%3 == 0 }

func (c *client) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.random.Int64N(int64(high-low)))
}

// run sends requests of all kinds, on kept and on new connections, until ctx ends.
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
			c.sendKept(Review) // accepted late in a grace period, it outlasts the rest of it
		case draw < 13:
			c.sendKept(Note)
		case draw < 17:
			c.sendKeyed(ctx)
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

// pickEdge returns the edge for a new connection: the fixed edge of a pinned client, otherwise a ready edge if there is one.
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

// newRequest returns the record of a request that starts now.
func (c *client) newRequest(kind RequestKind, key string) *Request {
	now := c.recorder.now()
	return &Request{ID: c.nextID("a"), Kind: kind, Key: key, StartedAt: now, DeadlineAt: now + deadlines[kind]}
}

func (c *client) finish(request *Request) {
	request.EndedAt = c.recorder.now()
	c.recorder.add(func(all *Record) { all.Requests = append(all.Requests, *request) })
}

// sendKept sends a request on one of the client's kept connections.
func (c *client) sendKept(kind RequestKind) {
	c.sendOn(&c.conns[c.random.IntN(connsPerClient)], c.newRequest(kind, ""))
}

// sendOn sends a request on *kept, which it opens if it is nil and sets to nil if the connection can't be reused.
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
	if !conn.receive(c.recorder, request) { // also reads the response to an upload that was rejected before its end
		conn.close()
		*kept = nil
	}
	return request
}

func (c *client) open() (*connection, error) {
	edge := c.pickEdge()
	return connect(edge, nodeprocess.Address(edge.spec.IP, nodeprocess.ClientPort))
}

// sendKeyed sends a keyed operation until the response is conclusive, with retries on new connections, and sometimes repeats it
// afterwards.
func (c *client) sendKeyed(ctx context.Context) {
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
			c.repeatLate(ctx, key, maxLateRepeat)
		}
		if !again && hashDraw(key, "old", oldRepeatEveryNth) == 0 {
			c.repeatLate(ctx, key, maxOldRepeat)
		}
		if !again && hashDraw(key, "repeat", repeatEveryNth) != 0 {
			return
		}
		time.Sleep(minThinkTime)
	}
}

// repeatLate repeats a keyed operation at two random edges, at ages from minLateRepeat to maxAge. Repeats that would come
// after the end of ctx are left out.
func (c *client) repeatLate(ctx context.Context, key string, maxAge time.Duration) {
	seed := c.random.Uint64()
	for range 2 {
		repeat := &client{clientPool: c.clientPool, number: 1, random: rand.New(rand.NewPCG(seed, c.random.Uint64()))}
		c.active.Go(func() {
			sleep(ctx, repeat.between(minLateRepeat, maxAge))
			if ctx.Err() != nil {
				return
			}
			var conn *connection
			repeat.sendOn(&conn, repeat.newRequest(Post, key))
			if conn != nil {
				conn.close()
			}
		})
	}
}

// connectDuringDrain has clients connect to a draining edge until it refuses connections. Some have a connection that the edge
// has not accepted yet, and some send their request a while after they connected.
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

// sendAndLeave sends a slow request or a stream on a new connection and disconnects before the response ends.
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
