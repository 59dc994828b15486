package program

import (
	"crypto/x509"
	"slices"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"mulleinwood/internal/planner/xds"
)

// authorize returns an error unless the client's certificate permits the role that its node identity claims.
func (f *frontend) authorize(p *peer.Peer, identity xds.Identity) error {
	if len(f.roles) == 0 {
		return nil
	}
	role := "proxy"
	if identity.Role == xds.Collector {
		role = "collector"
	}
	if info, isTLS := p.AuthInfo.(credentials.TLSInfo); isTLS && len(info.State.PeerCertificates) > 0 {
		for _, r := range f.roles {
			if r.Role == role && hasDNSName(info.State.PeerCertificates[0], r.Name) {
				return nil
			}
		}
	}
	return status.Errorf(codes.PermissionDenied, "no certificate that lets this client be a %s", role)
}

// hasDNSName reports whether a certificate has a DNS name that matches the pattern. A leading "*." matches exactly one label.
func hasDNSName(c *x509.Certificate, pattern string) bool {
	return slices.ContainsFunc(c.DNSNames, func(name string) bool {
		if base, wildcard := strings.CutPrefix(pattern, "*"); wildcard {
			_, rest, found := strings.Cut(name, ".")
			return found && "."+rest == base
		}
		return name == pattern
	})
}
