// Package standin contains simple peers of a planner for tests, measurements and the example: a discovery service, a server,
// a proxy and a collector. They are implemented from the protocol's description and independent of the planner's own codec.
// They act only on calls of the program that uses them, and generate no load by themselves.
package standin

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// service is a minimal HTTP server with one goroutine per connection. Its handlers write responses to the connection.
type service struct {
	ln     net.Listener
	mu     sync.Mutex
	conns  map[net.Conn]bool
	group  sync.WaitGroup
	closed chan struct{} // closed by Close
}

func listen(address string) (*service, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &service{ln: ln, conns: map[net.Conn]bool{}, closed: make(chan struct{})}, nil
}

// serve passes requests to handle until the service is closed. A connection ends when handle returns an error.
func (s *service) serve(handle func(net.Conn, *http.Request) error) {
	s.group.Go(func() {
		for {
			nc, err := s.ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[nc] = true
			s.mu.Unlock()
			s.group.Go(func() {
				in := bufio.NewReader(nc)
				for {
					request, err := http.ReadRequest(in)
					if err != nil || handle(nc, request) != nil {
						break
					}
				}
				s.mu.Lock()
				delete(s.conns, nc)
				s.mu.Unlock()
				nc.Close()
			})
		}
	})
}

// Addr returns the address on which the service listens.
func (s *service) Addr() string { return s.ln.Addr().String() }

// Conns returns the number of open connections.
func (s *service) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Break resets every open connection. New connections are still accepted.
func (s *service) Break() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.conns {
		if tcp, ok := nc.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		nc.Close()
	}
}

// Close stops the service and waits for its goroutines.
func (s *service) Close() {
	s.ln.Close()
	close(s.closed)
	s.Break()
	s.group.Wait()
}

func writeResponse(nc net.Conn, status int, body string) error {
	_, err := fmt.Fprintf(nc, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
	return err
}
