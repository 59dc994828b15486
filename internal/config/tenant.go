package config

import (
	"net/netip"
	"strings"

	"mulleinwood/internal/platform/apierror"
)

// TenantOf returns the tenant that a host names: of a request's Host header or absolute target, of a route's host, or of a
// booking. It is the only place where hosts are compared. Case, a port and a trailing dot make no difference, and an IP
// address has one spelling. It returns a Malformed error if the text is no host; an empty one is no host.
func TenantOf(host string) (tenant string, err error) {
	name, ok := cutPort(host)
	if !ok {
		return "", apierror.Malformed.New("%q is no host", host)
	}
	if strings.HasPrefix(name, "[") {
		address, err := netip.ParseAddr(name[1 : len(name)-1])
		if err != nil || !address.Is6() {
			return "", apierror.Malformed.New("%q is no host", host)
		}
		return "[" + address.String() + "]", nil
	}
	name = strings.ToLower(strings.TrimSuffix(name, "."))
	if !validName(name) {
		return "", apierror.Malformed.New("%q is no host", host)
	}
	return name, nil
}

// tenantOrText returns the tenant of a configured host, or the text itself if it is no host: then no request names it.
func tenantOrText(host string) string {
	tenant, err := TenantOf(host)
	if err != nil {
		return strings.ToLower(host)
	}
	return tenant
}

// cutPort returns a host without its port. It reports false if what follows the name is no port, or a bracket isn't closed.
func cutPort(host string) (name string, ok bool) {
	end := strings.IndexByte(host, ':')
	if strings.HasPrefix(host, "[") {
		if end = strings.IndexByte(host, ']') + 1; end == 0 {
			return "", false
		}
	}
	if end < 0 || end == len(host) {
		return host, true
	}
	if host[end] != ':' || strings.Trim(host[end+1:], "0123456789") != "" {
		return "", false
	}
	return host[:end], true
}

// validName reports whether a lower-case text may be a registered name: labels of at least one character, of those that a URL
// allows in a host.
func validName(name string) bool {
	const maxNameBytes = 255
	if name == "" || len(name) > maxNameBytes || strings.HasPrefix(name, ".") || strings.Contains(name, "..") {
		return false
	}
	for i := range len(name) {
		if c := name[i]; !isAlphanumeric(c) && !strings.ContainsRune("-._~!$&'()*+,;=%", rune(c)) {
			return false
		}
	}
	return !strings.HasSuffix(name, ".")
}

func isAlphanumeric(c byte) bool { return 'a' <= c && c <= 'z' || '0' <= c && c <= '9' }
