package program

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"mulleinwood/internal/planner/options"
	"mulleinwood/internal/planner/standin"
)

// authority signs certificates for a test.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	next atomic.Int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour),
		NotAfter:  time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	a.key = key
	a.cert, _ = x509.ParseCertificate(der)
	return a
}

// sign writes a certificate and its key, and returns both as a pair.
func (a *authority) sign(folder, file, name string, until time.Time) tls.Certificate {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{SerialNumber: big.NewInt(2 + a.next.Add(1)),
		DNSNames:  []string{name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until}, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	text, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	write := func(name, kind string, der []byte) {
		if err := os.WriteFile(filepath.Join(folder, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}),
			0o600); err != nil {
			a.t.Fatal(err)
		}
	}
	write(file+".pem", "CERTIFICATE", der)
	write(file+".key", "PRIVATE KEY", text)
	write("ca.pem", "CERTIFICATE", a.cert.Raw)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

func (a *authority) client(pair tls.Certificate) credentials.TransportCredentials {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return credentials.NewTLS(&tls.Config{RootCAs: pool, ServerName: "planner.test", Certificates: []tls.Certificate{pair}})
}

// TestKeys checks that clients get only the roles that their certificate's name permits, that certificates are reloaded on SIGHUP
// without losing a stream, and that an error names an invalid or expired file, which changes nothing.
func TestKeys(t *testing.T) {
	folder, ca := t.TempDir(), newAuthority(t)
	hour := time.Now().Add(time.Hour)
	ca.sign(folder, "server", "planner.test", hour)
	lane, other := ca.sign(folder, "lane", "lane-7.lanes.test", hour), ca.sign(folder, "other", "lanes.test", hour)
	f := startWithGRPC(t, 1, func(_ *fleet, c *Config) {
		c.Options.GRPC.TLS = options.TLS{Certificate: filepath.Join(folder, "server.pem"),
			Key: filepath.Join(folder, "server.key"), ClientCA: filepath.Join(folder, "ca.pem"),
			Roles: []options.Role{{Name: "*.lanes.test", Role: "proxy"}, {Name: "collector.test", Role: "collector"}}}
	})
	defer f.stop()
	p := f.grpcProxy(0, "north", ca.client(lane))
	f.await("a table", p, hasServers("s-0"))
	byLines := f.proxy(1, "north") // the line protocol doesn't use TLS
	f.wait("a table", byLines, hasServers("s-0"))
	denied := f.grpcProxy(2, "north", ca.client(other))
	if s := f.await("an end", denied,
		func(s standin.State) bool { return s.Closed != nil }); status.Code(s.Closed) != codes.PermissionDenied {
		t.Errorf("a name without the role: %v", s.Closed)
	}
	if _, err := standin.NewGRPCCollector(f.planner, "north", ca.client(lane)); status.Code(err) != codes.PermissionDenied {
		t.Errorf("a proxy's name as a collector: %v", err)
	}
	for name, creds := range map[string]credentials.TransportCredentials{"no certificate": ca.client(tls.Certificate{}),
		"no TLS": nil} {
		if c, err := standin.NewGRPCCollector(f.planner, "north", creds); err == nil {
			t.Errorf("%s: served", name)
			c.Close()
		}
	}
	loaded, err := loadCertificates(options.TLS{Certificate: filepath.Join(folder, "server.pem"),
		Key: filepath.Join(folder, "server.key")})
	if err != nil {
		t.Fatal(err)
	}
	before := loaded.current.Load()
	ca.sign(folder, "server", "planner.test", time.Now().Add(-time.Hour))
	if err := loaded.reload(time.Now()); err == nil || !strings.Contains(err.Error(), "server.pem") ||
		loaded.current.Load() != before {
		t.Errorf("an expired certificate: %v", err)
	}
	f.reloads <- syscall.SIGHUP
	os.WriteFile(filepath.Join(folder, "server.key"), []byte("half"), 0o600)
	if err := loaded.reload(time.Now()); err == nil || loaded.current.Load() != before {
		t.Errorf("a corrupt key: %v", err)
	}
	ca.sign(folder, "server", "planner.test", hour)
	if err := loaded.reload(time.Now()); err != nil || loaded.current.Load() == before {
		t.Errorf("valid files: %v", err)
	}
	f.reloads <- syscall.SIGHUP
	f.phase("s-1", "draining")
	f.await("the stream continues", p, lacksServer("s-1"))
	for _, bad := range []options.TLS{{Certificate: "none.pem", Key: "none.key"}, {ClientCA: "x"},
		{Roles: []options.Role{{Name: "a", Role: "proxy"}}},
		{Certificate: filepath.Join(folder, "server.pem"), Key: filepath.Join(folder, "server.key"),
			ClientCA: filepath.Join(folder, "server.key")}} {
		if _, err := loadCertificates(bad); err == nil {
			t.Errorf("%+v: no error", bad)
		}
	}
}
