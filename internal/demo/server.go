package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a stand-in server of one service. It speaks what servers speak, and counts what it ran.
type Server struct {
	ID, Service, Zone string
	WorkTime          time.Duration // that a request takes
	HeartbeatInterval time.Duration
	Controllers       []string // control addresses
	Slots             int      // requests that it runs at once; 0: defaultSlots
	// Handler serves the requests that are for this server; nil: each takes WorkTime and succeeds.
	Handler http.Handler

	listener net.Listener
	http     *http.Server
	sequence atomic.Uint64 // of heartbeats
	running  atomic.Int64  // requests
	draining atomic.Bool
	target   atomic.Pointer[string] // the controller that the server was told to call
	stop     context.CancelFunc
	done     chan struct{} // closed once no more heartbeats are sent

	mu   sync.Mutex
	runs map[string]int // by operation key, or by the attempt's id
}

const (
	defaultSlots = 2
	heartbeatIn  = time.Second // time-out of one heartbeat at one controller
	sealLength   = 16
	headerReadIn = 5 * time.Second
)

// serverHeartbeat is the body of a heartbeat, as the published protocol has it.
type serverHeartbeat struct {
	Service       string  `json:"service"`
	Address       string  `json:"address"`
	Zone          string  `json:"zone"`
	Version       string  `json:"version"`
	Capacity      int     `json:"capacity"`
	State         string  `json:"state"`
	WarmupSeconds float64 `json:"warmup_left_s"`
	Sequence      uint64  `json:"call_seq"`
}

// Start listens on an address and begins to send heartbeats.
func (s *Server) Start(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	s.listener, s.runs, s.done = listener, map[string]int{}, make(chan struct{})
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headerReadIn}
	go func() { _ = s.http.Serve(listener) }() // ends with Stop
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.runHeartbeats(ctx)
	return nil
}

func (s *Server) slots() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return defaultSlots
}

func (s *Server) runHeartbeats(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(s.HeartbeatInterval)
	defer ticker.Stop()
	for {
		s.sendHeartbeat(ctx, http.MethodPut)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendHeartbeat tells a controller how the server is, and reports whether one acknowledged it. The controller that the
// server was pointed to comes first.
func (s *Server) sendHeartbeat(ctx context.Context, method string) bool {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	body, err := json.Marshal(serverHeartbeat{Service: s.Service, Address: s.listener.Addr().String(), Zone: s.Zone,
		Version: "v1", Capacity: s.slots(), State: state, Sequence: s.sequence.Add(1)})
	if err != nil {
		return false
	}
	controllers := s.Controllers
	if target := s.target.Load(); target != nil {
		controllers = append([]string{*target}, controllers...)
	}
	for _, controller := range controllers {
		if s.sendHeartbeatTo(ctx, controller, method, body) == nil {
			return true
		}
	}
	s.target.Store(nil)
	return false
}

func (s *Server) sendHeartbeatTo(ctx context.Context, controller, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatIn)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+controller+"/instances/"+s.ID, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	var reply struct {
		Target string `json:"beat_target"`
	}
	err = json.NewDecoder(resp.Body).Decode(&reply)
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("heartbeat: %s", resp.Status)
	}
	if reply.Target != "" {
		s.target.Store(&reply.Target)
	}
	return nil
}

// ServeHTTP runs a request as a server does.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Instance", s.ID)
	if r.URL.Path == "/health" {
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	header.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.Handler != nil {
		s.Handler.ServeHTTP(w, r)
		return
	}
	s.succeed(w, r)
}

// succeed runs a request and answers it.
func (s *Server) succeed(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	s.countRun(r)
	time.Sleep(s.WorkTime)
	response := fmt.Sprintf("%s of %s did %s %s\n", s.ID, s.Service, r.Method, r.URL.Path)
	seal := fmt.Sprintf("%x", sha256.Sum256(append([]byte(response), body...)))
	header.Set("X-Server-Seal", seal[:sealLength])
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, s.slots()))
	_, _ = io.WriteString(w, response) // a caller that is gone doesn't want it
}

func (s *Server) countRun(r *http.Request) {
	name := r.Header.Get("X-Operation-Key")
	if name == "" {
		name = r.Header.Get("X-Attempt-Id")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[name]++
}

// Runs returns how often each operation ran here, by its key, or by the attempt's id where it has none.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Drain says that the server is leaving, and reports whether a controller acknowledged it.
func (s *Server) Drain(ctx context.Context) bool {
	s.draining.Store(true)
	return s.sendHeartbeat(ctx, http.MethodPut)
}

// Leave says that the server has ended, before it does, and reports whether a controller acknowledged it.
func (s *Server) Leave(ctx context.Context) bool {
	s.stop()
	<-s.done
	return s.sendHeartbeat(ctx, http.MethodDelete)
}

// Crash ends the server without a word: its connections break off.
func (s *Server) Crash() {
	s.stop()
	<-s.done
	_ = s.http.Close() // what is open breaks off either way
}

// Stop leaves in order: no more heartbeats, a last one that says so, and the listener's end.
func (s *Server) Stop() {
	s.Leave(context.Background())
	_ = s.http.Close() // nothing is waited for any more
}
