package tcpstate

import (
	"io"
	"net"
	"testing"
)

// dialled opens a listener and a connection to it that is not accepted yet. The kernel completes it by itself.
func dialled(t *testing.T) (net.Listener, net.Conn) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	return listener, client
}

// A connection that waits to be accepted, and bytes that wait to be read, are seen before the process takes them.
func TestReadableSeesWhatTheProcessHasNotTaken(t *testing.T) {
	listener, client := dialled(t)
	if !Readable(listener) {
		t.Error("a connection waits to be accepted")
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if Readable(listener) || Readable(server) {
		t.Error("nothing is left to accept or to read")
	}
	if _, err := io.WriteString(client, "GET"); err != nil { // on loopback it has arrived when the write returns
		t.Fatal(err)
	}
	for range 2 {
		if !Readable(server) {
			t.Error("three bytes are unread, and asking takes none away")
		}
	}
	if _, err := io.ReadFull(server, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	if Readable(server) {
		t.Error("all is read")
	}
	client.Close()
	if !Readable(server) {
		t.Error("the end of the stream waits to be read")
	}
	server.Close()
	if Readable(server) || Readable(nil) {
		t.Error("a closed socket has nothing to read")
	}
}

// Bytes that the peer's kernel has no room for are not sent.
func TestUnsentCountsWhatDidNotReachThePeer(t *testing.T) {
	listener, client := dialled(t)
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if n := Unsent(server); n != 0 {
		t.Errorf("%d bytes are unsent, nothing was written", n)
	}
	written := make(chan int)
	go func() {
		n, _ := server.Write(make([]byte, 64<<20)) // over what both kernels hold, so that it blocks until the client closes
		written <- n
	}()
	if _, err := io.ReadFull(client, make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	if Unsent(server) == 0 {
		t.Error("the client reads a kilobyte of 64 MB, and all of it was sent")
	}
	client.Close()
	if n := <-written; n == 64<<20 {
		t.Errorf("%d bytes were written", n)
	}
}
