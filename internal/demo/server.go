// Package demo is a gateway on one machine for trying it out and for CI: stand-in servers that beat and answer by
// the published protocol, the programs as processes on loopback addresses, and requests of each kind.
package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a stand-in server of one service. It speaks what servers speak, and counts what it ran.
type Server struct {
	ID, Service, Zone string
	Work              time.Duration
	Beat              time.Duration
	Controllers       []string // control addresses

	listener net.Listener
	http     *http.Server
	seq      atomic.Uint64
	running  atomic.Int64
	draining atomic.Bool
	target   atomic.Pointer[string]
	stop     context.CancelFunc
	done     chan struct{}

	mu  sync.Mutex
	ran map[string]int // by operation key, or by the id of the try
}

// Start listens on an address and begins to beat.
func (s *Server) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener, s.ran, s.done = l, map[string]int{}, make(chan struct{})
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(l) }() // ends with Stop
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.beats(ctx)
	return nil
}

func (s *Server) beats(ctx context.Context) {
	defer close(s.done)
	tick := time.NewTicker(s.Beat)
	defer tick.Stop()
	for {
		s.call(ctx, http.MethodPut)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// call tells a controller, the one it was pointed to first.
func (s *Server) call(ctx context.Context, method string) bool {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{"service": s.Service, "address": s.listener.Addr().String(), "zone": s.Zone,
		"version":  "v1",
		"capacity": 2, "state": state, "warmup_left_s": 0, "call_seq": s.seq.Add(1)})
	if err != nil {
		return false
	}
	targets := s.Controllers
	if t := s.target.Load(); t != nil {
		targets = append([]string{*t}, targets...)
	}
	for _, t := range targets {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		req, err := http.NewRequestWithContext(ctx, method, "http://"+t+"/instances/"+s.ID, bytes.NewReader(body))
		if err != nil {
			cancel()
			return false
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			cancel()
			continue
		}
		var answer struct {
			Target string `json:"beat_target"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		cancel()
		if resp.StatusCode/100 == 2 && err == nil {
			if answer.Target != "" {
				s.target.Store(&answer.Target)
			}
			return true
		}
	}
	s.target.Store(nil)
	return false
}

// ServeHTTP runs a request as a server does.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance", s.ID)
	if r.URL.Path == "/health" {
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	h.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n := s.running.Add(1)
	defer s.running.Add(-1)
	name := r.Header.Get("X-Operation-Key")
	if name == "" {
		name = r.Header.Get("X-Attempt-Id")
	}
	s.mu.Lock()
	s.ran[name]++
	s.mu.Unlock()
	time.Sleep(s.Work)
	answer := fmt.Sprintf("%s of %s did %s %s\n", s.ID, s.Service, r.Method, r.URL.Path)
	h.Set("X-Server-Seal", fmt.Sprintf("%x", sha256.Sum256(append([]byte(answer), body...)))[:16])
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,2", n))
	_, _ = io.WriteString(w, answer) // a caller that is gone doesn't want it
}

// Ran is how often each operation ran here.
func (s *Server) Ran() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]int{}
	for k, n := range s.ran {
		all[k] = n
	}
	return all
}

// Drain says that the server is leaving, and whether a controller acknowledged it.
func (s *Server) Drain() bool {
	s.draining.Store(true)
	return s.call(context.Background(), http.MethodPut)
}

// Stop leaves in order.
func (s *Server) Stop() {
	s.stop()
	<-s.done
	s.call(context.Background(), http.MethodDelete)
	s.http.Close()
}
