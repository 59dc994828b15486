package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"mulleinwood/internal/demo"
)

// The services. There are two so that faults of one can be seen not to affect the other.
const (
	lookupService = "lookups"
	ledgerService = "ledger"
)

var serviceNames = []string{lookupService, ledgerService}

// Parameters of the stand-in servers.
const (
	heartbeatPeriod   = 500 * time.Millisecond
	serveAfterLeaving = drainBound + 500*time.Millisecond
	replaceDelay      = 500 * time.Millisecond // between the end of a server and the start of its replacement
	shortWork         = 60 * time.Millisecond  // upper bound for most requests
	longWork          = 900 * time.Millisecond // upper bound for one in longWorkEvery requests
	longWorkEvery     = 15
	reviewWork        = 3 * time.Second // upper bound for reviews, from which clients may disconnect
	minReviewWork     = 1200 * time.Millisecond
	streamChunks      = 24
	streamChunkBytes  = 20 << 10 // all chunks together exceed the edge's buffer
	streamInterval    = 40 * time.Millisecond
	breakOffEvery     = 150 // one in so many requests is aborted by its server
	turnAwayEvery     = 60
	failEvery         = 120
	stallEvery        = 400 // one in so many requests gets no response until the caller disconnects
	endlessEvery      = 50  // one in so many streams has no Content-Length
	maxServerBody     = 4 << 20
	serverSlots       = 16
)

// fakeServers contains the stand-in servers of a run, which are replaced while it goes on. It is safe for concurrent use.
type fakeServers struct {
	recorder    *recorder
	ip          string
	controllers []string

	mu           sync.Mutex
	random       *rand.Rand
	servers      map[string][]*fakeServer // by service
	incarnations int
	closed       bool
	pending      sync.WaitGroup // events and replacements in progress
}

// fakeServer is one incarnation of a stand-in server.
type fakeServer struct {
	*demo.Server
	incarnation int
	recorder    *recorder
	group       *fakeServers
	crashed     context.Context
	crash       context.CancelFunc
}

func newFakeServers(r *recorder, seed uint64, ip string, controllers []string) *fakeServers {
	return &fakeServers{recorder: r, ip: ip, controllers: controllers, random: rand.New(rand.NewPCG(seed, 2)),
		servers: map[string][]*fakeServer{}}
}

// startAll starts count servers of each service.
func (s *fakeServers) startAll(count int) error {
	for _, service := range serviceNames {
		for range count {
			if err := s.startServer(service); err != nil {
				return err
			}
		}
	}
	return nil
}

// startServer starts one more server of a service. It does nothing after stop.
func (s *fakeServers) startServer(service string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.incarnations++
	one := &fakeServer{incarnation: s.incarnations, recorder: s.recorder, group: s}
	one.crashed, one.crash = context.WithCancel(context.Background())
	one.Server = &demo.Server{ID: fmt.Sprintf("i-%s-%d", service, s.incarnations), Service: service,
		Zone: zoneNames[s.incarnations%len(zoneNames)], HeartbeatInterval: heartbeatPeriod, Controllers: s.controllers,
		Handler: one, Slots: serverSlots}
	if err := one.Start(s.ip + ":0"); err != nil {
		return fmt.Errorf("server %s: %w", one.ID, err)
	}
	s.servers[service] = append(s.servers[service], one)
	return nil
}

// removeRandom removes a random server from the running servers of a service and returns it, or nil if fewer than two are left.
func (s *fakeServers) removeRandom(service string) *fakeServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.servers[service]
	if len(all) < 2 {
		return nil
	}
	i := s.random.IntN(len(all))
	one := all[i]
	s.servers[service] = append(append([]*fakeServer(nil), all[:i]...), all[i+1:]...)
	return one
}

// inject triggers an event at a random server of the service and starts a replacement afterwards. It doesn't wait for them.
func (s *fakeServers) inject(ctx context.Context, e Event) {
	one := s.removeRandom(e.On)
	if one == nil {
		return
	}
	s.pending.Go(func() {
		switch e.Kind {
		case ServerDrain:
			if one.Drain(ctx) {
				one.recordLeft()
			}
			sleep(ctx, serveAfterLeaving)
			one.crash() // it cuts off what it still works on
			one.Stop()
		case ServerLeave:
			if one.Leave(ctx) {
				one.recordLeft()
			}
			sleep(ctx, serveAfterLeaving)
			one.crash()
			one.Crash()
		case ServerCrash:
			one.crash()
			one.Crash()
		}
		sleep(ctx, replaceDelay)
		if ctx.Err() == nil {
			_ = s.startServer(e.On) // without a free port the service keeps one server less
		}
	})
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// stop stops all servers.
func (s *fakeServers) stop() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.pending.Wait()
	for _, all := range s.servers {
		for _, one := range all {
			one.crash()
			one.Crash()
		}
	}
}

// recordLeft records that the server's announcement to leave was acknowledged.
func (s *fakeServer) recordLeft() {
	at := s.recorder.now()
	s.recorder.add(func(all *Record) { all.Left = append(all.Left, ServerLeft{s.ID, s.incarnation, at}) })
}

// hashDraw returns a number below n that depends on id and about only, so that runs are repeatable as far as possible.
func hashDraw(id, about string, n uint64) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, about+id) // it never fails
	return xxh3.HashString(strconv.FormatUint(h.Sum64(), 16)) % n
}

// responseBody returns the response of a server to a request, and its seal. Both depend on the attempt and the incarnation.
func responseBody(id string, incarnation, size int) (body []byte, seal string) {
	line := fmt.Sprintf("%s ran at incarnation %d\n", id, incarnation)
	body = []byte(strings.Repeat(line, 1+size/len(line)))
	return body, strconv.FormatUint(xxh3.Hash(body), 16)
}

// ServeHTTP executes a request and records it.
func (s *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	run := ServerRun{ID: r.Header.Get("X-Attempt-Id"), Key: r.Header.Get("X-Operation-Key"), Service: s.Service, Server: s.ID,
		Incarnation: s.incarnation, ArrivedAt: s.recorder.now(), DeadlineMS: -1}
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		run.DeadlineMS = ms
	}
	defer func() {
		run.EndedAt = s.recorder.now()
		s.recorder.add(func(all *Record) { all.Runs = append(all.Runs, run) })
		if run.Outcome == RunBrokeOff {
			panic(http.ErrAbortHandler)
		}
	}()
	run.Outcome = RunUnread
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxServerBody)); err != nil {
		return
	}
	run.Outcome = RunAbandoned
	s.run(w, r, &run)
}

// run executes the outcome that is drawn for the request.
func (s *fakeServer) run(w http.ResponseWriter, r *http.Request, run *ServerRun) {
	kind := RequestKind(strings.Trim(strings.SplitN(r.URL.Path, "/", 3)[1], "/"))
	switch {
	case hashDraw(run.ID, s.ID+"turn away", turnAwayEvery) == 0:
		run.Outcome, run.Status = RunNotRun, http.StatusServiceUnavailable
		w.Header().Set("X-Not-Run", "full")
		w.WriteHeader(run.Status)
		return
	case hashDraw(run.ID, s.ID+"stall", stallEvery) == 0:
		run.Planned = time.Hour
		s.work(r.Context(), run)
		return
	}
	run.Planned = workTime(kind, run.ID)
	if !s.work(r.Context(), run) {
		return
	}
	if hashDraw(run.ID, s.ID+"break off", breakOffEvery) == 0 {
		run.Outcome = RunBrokeOff
		return
	}
	if kind == Stream {
		s.stream(w, r, run)
		return
	}
	run.Status = http.StatusOK
	if hashDraw(run.ID, s.ID+"fail", failEvery) == 0 {
		run.Status = http.StatusInternalServerError
	}
	body, seal := responseBody(run.ID, s.incarnation, 0)
	run.Seal, run.Digest, run.Outcome = seal, xxh3.Hash(body), RunComplete
	w.Header().Set("X-Server-Seal", seal)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(run.Status)
	_, _ = w.Write(body) // the caller may have disconnected
}

// workTime returns how long a server works on a request.
func workTime(kind RequestKind, id string) time.Duration {
	part := func(low, high time.Duration) time.Duration {
		return low + time.Duration(hashDraw(id, "work", 1000))*(high-low)/1000
	}
	switch {
	case kind == Review:
		return part(minReviewWork, reviewWork)
	case hashDraw(id, "long", longWorkEvery) == 0:
		return part(shortWork, longWork)
	default:
		return part(time.Millisecond, shortWork)
	}
}

// work waits for run.Planned. It reports whether that time passed before the caller disconnected or the server crashed;
// otherwise it sets run.Outcome.
func (s *fakeServer) work(ctx context.Context, run *ServerRun) bool {
	timer := time.NewTimer(run.Planned)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		run.Outcome = RunAbandoned
	case <-s.crashed.Done():
		run.Outcome = RunBrokeOff
	}
	if s.crashed.Err() != nil {
		run.Outcome = RunBrokeOff
	}
	return false
}

// stream sends a long body in chunks, with or without a Content-Length.
func (s *fakeServer) stream(w http.ResponseWriter, r *http.Request, run *ServerRun) {
	body, seal := responseBody(run.ID, s.incarnation, streamChunks*streamChunkBytes)
	run.Status, run.Seal, run.Digest = http.StatusOK, seal, xxh3.Hash(body)
	w.Header().Set("X-Server-Seal", seal)
	if hashDraw(run.ID, "endless", endlessEvery) != 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	for len(body) > 0 {
		n := min(streamChunkBytes, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // an error is returned by the next write, too
		body = body[n:]
		run.Planned += streamInterval
		pause := &ServerRun{Planned: streamInterval}
		if !s.work(r.Context(), pause) {
			run.Outcome = pause.Outcome
			return
		}
	}
	run.Outcome = RunComplete
}
