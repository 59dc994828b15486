package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// handshakeLimit is how long a peer may take to prove who it is.
const handshakeLimit = 2 * time.Second

// Security is what links prove themselves with: a certificate and its key, and the authorities that others' are believed
// from, from three files of a folder. A nil Security is none: links are plain, and the network is the guard.
type Security struct {
	dir     string
	ownIP   string // address that links are made from: it is what the certificate names
	current atomic.Pointer[credentials]
}

type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// The files of a Security's folder.
const (
	certificateFile = "certificate.pem"
	keyFile         = "key.pem"
	authorityFile   = "authorities.pem" // two of them while one takes the other's place
)

// NewSecurity reads a folder for a process at an address; an empty name gives none.
func NewSecurity(dir, own string) (*Security, error) {
	if dir == "" {
		return nil, nil
	}
	s := &Security{dir: dir, ownIP: own}
	return s, s.Reload()
}

// Reload reads the folder again. New links prove themselves with what it holds; links that are up stay. Files that can't
// be used change nothing.
func (s *Security) Reload() error {
	if s == nil {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(filepath.Join(s.dir, certificateFile), filepath.Join(s.dir, keyFile))
	if err != nil {
		return fmt.Errorf("inner TLS: %w", err)
	}
	text, err := os.ReadFile(filepath.Join(s.dir, authorityFile))
	if err != nil {
		return fmt.Errorf("inner TLS: %w", err)
	}
	p := &credentials{certificate: certificate, authorities: x509.NewCertPool()}
	if !p.authorities.AppendCertsFromPEM(text) {
		return fmt.Errorf("inner TLS: %s holds no certificate", authorityFile)
	}
	s.current.Store(p)
	return nil
}

// Dial connects to another process, and has it prove that it is at that address.
func (s *Security) Dial(address string, limit time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: limit}
	if s != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(s.ownIP)}
	}
	conn, err := dialer.Dial("tcp", address)
	if err != nil || s == nil {
		return conn, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		conn.Close()
		return nil, err
	}
	p := s.current.Load()
	secured := tls.Client(conn, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.certificate}, RootCAs: p.authorities, ServerName: host})
	return completeHandshake(secured)
}

// Accept takes a connection over that another process made, and has it prove that it is at the address it calls from. It
// waits for that, and belongs on the connection's own goroutine.
func (s *Security) Accept(conn net.Conn) (net.Conn, error) {
	if s == nil {
		return conn, nil
	}
	p := s.current.Load()
	secured := tls.Server(conn, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.certificate}, ClientCAs: p.authorities,
		ClientAuth: tls.RequireAndVerifyClientCert})
	if _, err := completeHandshake(secured); err != nil {
		return nil, err
	}
	if err := secured.ConnectionState().PeerCertificates[0].VerifyHostname(RemoteIP(conn)); err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}

func completeHandshake(conn *tls.Conn) (net.Conn, error) {
	ctx, done := context.WithTimeout(context.Background(), handshakeLimit)
	defer done()
	if err := conn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// RemoteIP is the address at the other end of a connection.
func RemoteIP(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

var errAddressMismatch = errors.New("the peer says that it has another address")

// VerifyAddress holds what a peer says of its address against what it proved.
func (s *Security) VerifyAddress(conn net.Conn, hello *Handshake) error {
	if s != nil && hello.IP != RemoteIP(conn) {
		return fmt.Errorf("%w: %s, not %s", errAddressMismatch, hello.IP, RemoteIP(conn))
	}
	return nil
}
