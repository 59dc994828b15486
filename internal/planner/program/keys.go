package program

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"mulleinwood/internal/planner/options"
)

// certificates are the TLS certificates of the gRPC frontend. They are reloaded on SIGHUP; existing connections keep theirs.
type certificates struct {
	files   options.TLS
	current *atomic.Pointer[tls.Config]
}

// loadCertificates reads the files that the settings name. It returns nil if they name none.
func loadCertificates(files options.TLS) (*certificates, error) {
	if files.Certificate == "" && files.Key == "" {
		if files.ClientCA != "" || len(files.Roles) > 0 {
			return nil, errors.New("grpc.tls: client_ca and roles need a certificate and a key")
		}
		return nil, nil
	}
	loaded := &certificates{files: files, current: &atomic.Pointer[tls.Config]{}}
	return loaded, loaded.reload(time.Now())
}

// reload reads the files again. If one is invalid, the current certificates stay in use.
func (c *certificates) reload(now time.Time) error {
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return fmt.Errorf("grpc.tls: %s, %s: %w", c.files.Certificate, c.files.Key, err)
	}
	if pair.Leaf == nil {
		if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
			return fmt.Errorf("grpc.tls: %s: %w", c.files.Certificate, err)
		}
	}
	if now.After(pair.Leaf.NotAfter) || now.Before(pair.Leaf.NotBefore) {
		return fmt.Errorf("grpc.tls: %s: valid from %s to %s only", c.files.Certificate,
			pair.Leaf.NotBefore.Format(time.DateOnly),
			pair.Leaf.NotAfter.Format(time.DateOnly))
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}, NextProtos: []string{"h2"}}
	if c.files.ClientCA != "" {
		text, err := os.ReadFile(c.files.ClientCA)
		if err != nil {
			return fmt.Errorf("grpc.tls: client_ca: %w", err)
		}
		config.ClientCAs, config.ClientAuth = x509.NewCertPool(), tls.RequireAndVerifyClientCert
		if !config.ClientCAs.AppendCertsFromPEM(text) {
			return fmt.Errorf("grpc.tls: %s: no certificate in it", c.files.ClientCA)
		}
	} else if len(c.files.Roles) > 0 {
		return errors.New("grpc.tls: roles need a client_ca")
	}
	c.current.Store(config)
	return nil
}

// serverConfig returns a configuration that always uses the most recently loaded certificates.
func (c *certificates) serverConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return c.current.Load(), nil }}
}
