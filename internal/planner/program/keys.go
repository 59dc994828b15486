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

// keys are the certificates of the gRPC front. They are read again on SIGHUP; streams that stand keep theirs.
type keys struct {
	files options.TLS
	now   *atomic.Pointer[tls.Config]
}

// loadKeys reads the files that the settings name; nil without any.
func loadKeys(files options.TLS) (*keys, error) {
	if files.Certificate == "" && files.Key == "" {
		if files.ClientCA != "" || len(files.Roles) > 0 {
			return nil, errors.New("grpc.tls: client_ca and roles need a certificate and a key")
		}
		return nil, nil
	}
	k := &keys{files: files, now: &atomic.Pointer[tls.Config]{}}
	return k, k.reload(time.Now())
}

// reload reads the files. If one is bad the former ones stay.
func (k *keys) reload(now time.Time) error {
	pair, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return fmt.Errorf("grpc.tls: %s, %s: %w", k.files.Certificate, k.files.Key, err)
	}
	if pair.Leaf == nil {
		if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
			return fmt.Errorf("grpc.tls: %s: %w", k.files.Certificate, err)
		}
	}
	if now.After(pair.Leaf.NotAfter) || now.Before(pair.Leaf.NotBefore) {
		return fmt.Errorf("grpc.tls: %s: valid from %s to %s only", k.files.Certificate,
			pair.Leaf.NotBefore.Format(time.DateOnly),
			pair.Leaf.NotAfter.Format(time.DateOnly))
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}, NextProtos: []string{"h2"}}
	if k.files.ClientCA != "" {
		text, err := os.ReadFile(k.files.ClientCA)
		if err != nil {
			return fmt.Errorf("grpc.tls: client_ca: %w", err)
		}
		c.ClientCAs, c.ClientAuth = x509.NewCertPool(), tls.RequireAndVerifyClientCert
		if !c.ClientCAs.AppendCertsFromPEM(text) {
			return fmt.Errorf("grpc.tls: %s: no certificate in it", k.files.ClientCA)
		}
	} else if len(k.files.Roles) > 0 {
		return errors.New("grpc.tls: roles need a client_ca")
	}
	k.now.Store(c)
	return nil
}

// server is a configuration that goes by the keys read last.
func (k *keys) server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.now.Load(), nil }}
}
