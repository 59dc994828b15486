package config_test

import (
	"fmt"
	"testing"

	"mulleinwood/internal/config"
)

// hostForms lists the tenants of hosts; "" is no tenant.
var hostForms = map[string]string{
	"toll.example":           "toll.example",
	"TOLL.Example":           "toll.example",
	"toll.example:80":        "toll.example",
	"toll.example:8641":      "toll.example",
	"toll.example:":          "toll.example",
	"toll.example.":          "toll.example",
	"Toll.Example.:443":      "toll.example",
	"toll_1-a.example":       "toll_1-a.example",
	"localhost":              "localhost",
	"10.0.0.1:8080":          "10.0.0.1",
	"[2001:DB8::1]":          "[2001:db8::1]",
	"[2001:db8:0:0::1]:8641": "[2001:db8::1]",
	"":                       "",
	".":                      "",
	":80":                    "",
	"toll..example":          "",
	".toll.example":          "",
	"toll.example..":         "",
	"toll.example:http":      "",
	"toll.example:80:90":     "",
	"toll.example/x":         "",
	"toll example":           "",
	"user@toll.example":      "",
	"[2001:db8::1":           "",
	"[2001:db8::1]x":         "",
	"[]":                     "",
	"[10.0.0.1]":             "",
	"2001:db8::1":            "",
	"toll.example\x00":       "",
}

func TestTenantOf(t *testing.T) {
	for host, want := range hostForms {
		got, err := config.TenantOf(host)
		if got != want || (err == nil) != (want != "") {
			t.Errorf("tenant of %q is %q, %v; want %q", host, got, err, want)
		}
	}
}

func treeOf(t *testing.T, host string) (*config.Tree, error) {
	t.Helper()
	c, err := config.Parse(fmt.Appendf(nil, `{"version":"r1","services":[{"name":"s"}],"plants":[{"plant":%q,"channels":[`+
		`{"name":"r","path_prefix":"/","kind":"safe","deadline_s":1,"setpoint_s":1,"service":"s","tries":1}]}]}`, host))
	if err != nil {
		return nil, err
	}
	return config.NewTree(c), nil
}

// Guards against TWICE and 404: a route, a claim and a booking of one tenant must go by the same name of it, in whatever form
// the configuration and the client write the host.
func TestRoutesGoByTheTenant(t *testing.T) {
	for configured, tenant := range hostForms {
		if tenant == "" {
			continue
		}
		tree, err := treeOf(t, configured)
		if err != nil {
			t.Fatal(err)
		}
		for requested, other := range hostForms {
			route := tree.Find(requested, "/x")
			if (route != nil) != (other == tenant) {
				t.Errorf("a route of %q, requested as %q: found %t", configured, requested, route != nil)
			}
			if route != nil && route.Tenant != tenant {
				t.Errorf("the tenant of a route of %q is %q, want %q", configured, route.Tenant, tenant)
			}
		}
	}
}

func FuzzTenantOf(f *testing.F) {
	for host := range hostForms {
		f.Add(host)
	}
	f.Fuzz(func(t *testing.T, host string) {
		tenant, err := config.TenantOf(host)
		if err != nil {
			return
		}
		for _, form := range []string{tenant, tenant + ":8641"} {
			if again, err := config.TenantOf(form); again != tenant || err != nil {
				t.Errorf("%q has the tenant %q, which as %q has %q, %v", host, tenant, form, again, err)
			}
		}
		tree, err := treeOf(t, "toll.example")
		if err != nil {
			t.Fatal(err)
		}
		if route := tree.Find(host, "/x"); (route != nil) != (tenant == "toll.example") {
			t.Errorf("%q of tenant %q: route found %t", host, tenant, route != nil)
		}
	})
}
