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

// handshakeTimeout is how long a TLS handshake may take.
const handshakeTimeout = 2 * time.Second

// Security authenticates links by mutual TLS. It reads a certificate, its key and the accepted authorities from three
// files of a folder. A nil Security leaves links plain: then only the network keeps strangers out. It may be used by any
// goroutine.
type Security struct {
	dir     string
	ownIP   string // address that links are dialled from; the certificate names it
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
	authorityFile   = "authorities.pem" // holds two while one authority replaces another
)

// NewSecurity reads the folder dir for a process whose address is ownIP. An empty dir gives nil, which means plain links.
func NewSecurity(dir, ownIP string) (*Security, error) {
	if dir == "" {
		return nil, nil
	}
	s := &Security{dir: dir, ownIP: ownIP}
	return s, s.Reload()
}

// Reload reads the folder again. New links use what it holds; established ones stay. Files that can't be used change
// nothing.
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
	loaded := &credentials{certificate: certificate, authorities: x509.NewCertPool()}
	if !loaded.authorities.AppendCertsFromPEM(text) {
		return fmt.Errorf("inner TLS: %s holds no certificate", authorityFile)
	}
	s.current.Store(loaded)
	return nil
}

// Dial connects to another process within timeout, and verifies that its certificate names the address.
func (s *Security) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if s != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(s.ownIP)}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil || s == nil {
		return conn, err
	}
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, closeWith(conn, err)
	}
	current := s.current.Load()
	return completeHandshake(ctx, tls.Client(conn, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.authorities,
		ServerName:   ip,
	}))
}

// Accept takes over a connection that another process dialled, and verifies that its certificate names the address that it
// dialled from. It blocks for the handshake, so it belongs on the connection's own goroutine.
func (s *Security) Accept(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if s == nil {
		return conn, nil
	}
	current := s.current.Load()
	secured := tls.Server(conn, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		ClientCAs:    current.authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	})
	if _, err := completeHandshake(ctx, secured); err != nil {
		return nil, err
	}
	if err := secured.ConnectionState().PeerCertificates[0].VerifyHostname(RemoteIP(conn)); err != nil {
		return nil, closeWith(conn, err)
	}
	return secured, nil
}

func completeHandshake(ctx context.Context, conn *tls.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, closeWith(conn, err)
	}
	return conn, nil
}

// closeWith closes a connection that failed, and gives the error for which it did.
func closeWith(conn net.Conn, err error) error {
	_ = conn.Close() // the first error is the one that explains
	return err
}

// RemoteIP is the address at the other end of a connection.
func RemoteIP(conn net.Conn) string {
	ip, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return ip
}

var errAddressMismatch = errors.New("the handshake names another address than the connection")

// VerifyAddress compares the address in a peer's handshake with the one that its certificate proved.
func (s *Security) VerifyAddress(conn net.Conn, handshake *Handshake) error {
	if s != nil && handshake.IP != RemoteIP(conn) {
		return fmt.Errorf("%w: %s, not %s", errAddressMismatch, handshake.IP, RemoteIP(conn))
	}
	return nil
}
