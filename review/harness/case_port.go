package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"mulleinwood/internal/nodeprocess"
)

const keysByKind = 20

// platform is the platform's address in a zone: it passes each connection to the edge of that zone.
type platform struct {
	g        *rig
	listener net.Listener
	edge     string       // address of the edge
	resets   atomic.Int32 // connections that are reset once the edge begins to answer
}

func newPlatform(g *rig, zone int) (*platform, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", nodeprocess.Address(g.standInIP(), 0))
	if err != nil {
		return nil, err
	}
	p := &platform{g: g, listener: listener, edge: g.edgeAddress(zone)}
	go p.accept()
	return p, nil
}

// host is the host of the clients' URLs for this address: the tenant's name and the port of the address.
func (p *platform) host() string {
	_, port, _ := net.SplitHostPort(p.address()) // the address of a listener has a port
	return net.JoinHostPort(tenant, port)
}

func (p *platform) address() string { return p.listener.Addr().String() }

func (p *platform) close() { _ = p.listener.Close() } // the process is about to end

func (p *platform) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(client)
	}
}

// pass passes one connection on, and resets it instead of returning the answer if resets says so.
func (p *platform) pass(client net.Conn) {
	defer func() { _ = client.Close() }()
	edge, err := (&net.Dialer{Timeout: dialTime}).DialContext(context.Background(), "tcp", p.edge)
	if err != nil {
		return
	}
	defer func() { _ = edge.Close() }()
	go func() { _, _ = io.Copy(edge, client) }() // ends with either connection
	if p.resets.Add(-1) >= 0 {
		n, _ := edge.Read(make([]byte, 1)) // until the edge begins to answer
		if tcp, ok := client.(*net.TCPConn); ok && n > 0 {
			p.g.record.note("reset     a client's connection, over which an answer was coming")
			_ = tcp.SetLinger(0) // a close instead of a reset loses the answer just as well
		}
		return
	}
	_, _ = io.Copy(client, edge)
}

// playPort has clients send keyed operations to the platform's address in their zone. Every second answer is lost to a reset, and
// the clients send those operations again, half of them to the same address and half to that of another zone.
func playPort(g *rig) (broken bool, err error) {
	own, err := newPlatform(g, 0)
	if err != nil {
		return false, err
	}
	defer own.close()
	other, err := newPlatform(g, 1)
	if err != nil {
		return false, err
	}
	defer other.close()
	for _, kind := range []struct {
		name  string
		again *platform
	}{{"same-zone", own}, {"other-zone", other}} {
		twice := 0
		for i := range keysByKind {
			key := fmt.Sprintf("%s-%d", kind.name, i)
			if err := operate(own, kind.again, key, i%2 == 0); err != nil {
				return false, err
			}
			if g.runs.of(key) > 1 {
				twice++
			}
		}
		g.record.note("sent again to the %s: %d of %d operations ran twice", kind.name, twice, keysByKind)
		broken = broken || twice > 0
	}
	return broken, nil
}

// operate sends an operation, and again if it fails. With lossy set its first answer is lost, unless trouble is turned off.
func operate(first, again *platform, key string, lossy bool) error { //nolint:revive // the caller decides for each operation
	g := first.g
	if lossy && g.trouble {
		first.resets.Store(1)
	}
	got, err := g.try(first.host(), first.address(), key)
	if err == nil && got.status == http.StatusOK {
		return nil
	}
	if !g.trouble {
		return fmt.Errorf("key %s is not served: %d, %w", key, got.status, err)
	}
	_, err = g.try(again.host(), again.address(), key)
	return err
}
