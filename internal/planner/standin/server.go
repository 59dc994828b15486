package standin

import (
	"net"
	"net/http"
	"sync"
)

// Server is a server that answers HTTP probes.
type Server struct {
	*service
	mu     sync.Mutex
	status int
	load   string
	probes int
}

// NewServer starts a server on the address. It answers probes with status 200 and a load report.
func NewServer(address string) (*Server, error) {
	ln, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &Server{service: ln, status: http.StatusOK, load: "inflight=0,util=0.10"}
	ln.serve(s.handle)
	return s, nil
}

// Set sets the status and the load report that answer later probes. Status 0 means no answer at all.
func (s *Server) Set(status int, load string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.load = status, load
}

// Probed returns the number of probes received.
func (s *Server) Probed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

func (s *Server) handle(nc net.Conn, r *http.Request) error {
	s.mu.Lock()
	s.probes++
	status, load := s.status, s.load
	s.mu.Unlock()
	switch {
	case status == 0:
		return nil
	case r.URL.Path == "/health":
		return writeResponse(nc, status, "")
	case r.URL.Path == "/status/load":
		return writeResponse(nc, status, load)
	}
	return writeResponse(nc, http.StatusNotFound, "")
}
