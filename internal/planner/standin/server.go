package standin

import (
	"net"
	"net/http"
	"sync"
)

// Server answers probes.
type Server struct {
	*service
	mu     sync.Mutex
	status int
	load   string
	probes int
}

// NewServer starts one on the address. It answers 200 with a load report.
func NewServer(address string) (*Server, error) {
	ln, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &Server{service: ln, status: http.StatusOK, load: "inflight=0,util=0.10"}
	ln.serve(s.handle)
	return s, nil
}

// Set says how probes are answered from now on. Status 0 stands for no answer at all.
func (s *Server) Set(status int, load string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.load = status, load
}

// Probed is how many probes have come.
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
