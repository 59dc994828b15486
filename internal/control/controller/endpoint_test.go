package controller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/node"
	"mulleinwood/internal/platform/nodesettings"
)

// Calls that have arrived when a controller shuts down must be answered, whether or not they were accepted and read by then.
// Their connections are closed, so that the callers go to another controller.
func TestEndpointAnswersTheCallsThatHaveArrived(t *testing.T) {
	const calls = 40
	g := NewWithT(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	endpoint := newControlEndpoint(newController(node.Config{Settings: &nodesettings.Settings{IP: "10.0.0.3"},
		Logger: log.NewNopLogger()}, 1), listener)
	conns := make([]net.Conn, 0, calls)
	for range calls { // the endpoint accepts no connection yet
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, conn)
	}
	drained := make(chan struct{})
	endpoint.draining.Store(true)
	go func() { _ = endpoint.serve() }()
	go func() {
		endpoint.drain()
		close(drained)
	}()
	for i, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(HaveOccurred(), "call %d", i)
		g.Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		g.Expect(response.Close).To(BeTrue())
		conn.Close()
	}
	<-drained
	_, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	g.Expect(err).To(HaveOccurred(), "the endpoint is closed")
}
