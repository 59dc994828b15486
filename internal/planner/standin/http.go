// Package standin holds small parties for tests and for the example: discovery, a server, a proxy and a
// collector, written from the protocol's page. They do what they are told and make no load.
package standin

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// service accepts connections and answers requests by hand, one goroutine a connection.
type service struct {
	ln     net.Listener
	mu     sync.Mutex
	conns  map[net.Conn]bool
	group  sync.WaitGroup
	closed chan struct{} // closed at the end
}

func listen(address string) (*service, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &service{ln: ln, conns: map[net.Conn]bool{}, closed: make(chan struct{})}, nil
}

// serve answers requests until it is closed.
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

// Addr is the address that it listens on.
func (s *service) Addr() string { return s.ln.Addr().String() }

// Conns is the number of open connections.
func (s *service) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Break closes every open connection with a reset; new ones are taken.
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

// Close ends it and waits for its goroutines.
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
