// Package demo runs a gateway on one machine, for trying it out and for CI: the programs as processes on loopback
// addresses, stand-in servers that send heartbeats and answer by the published protocol, and requests of each kind.
package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"mulleinwood/internal/nodeprocess"
)

// Demo is a gateway of three controllers and two edges, each a process of its own on its own loopback address. Its methods
// are called one after the other: Start, then Try, Reload and Book in any order, then Stop.
type Demo struct {
	Dir       string    // folder for settings, data directories and logs
	BinDir    string    // folder that holds the programs
	Out       io.Writer // what happened, a line each
	PrintLogs bool      // the programs' logs go to Out instead of files

	processes []*nodeprocess.Process
	logs      []*os.File
	servers   []*Server
	seeds     []string // control addresses of the controllers
}

const (
	tenant        = "toll.example"
	zone          = "zone-1"
	controlPort   = nodeprocess.ControlPort
	clientPort    = nodeprocess.ClientPort
	readinessPort = nodeprocess.ReadinessPort
	waitLimit     = 15 * time.Second // for what should happen within a second or two; CI's machines are slow
	maxSends      = 5                // a request that is refused with Retry-After is sent so often
	workTime      = 20 * time.Millisecond
	heartbeat     = 500 * time.Millisecond
	requestLimit  = 5 * time.Second
)

var (
	controllerIPs  = []string{"127.0.61.1", "127.0.61.2", "127.0.61.3"}
	edgeIPs        = []string{"127.0.61.11", "127.0.61.12"}
	serverServices = []string{"tags", "tags", "ledger", "ledger"}
)

func address(ip string, port int) string { return nodeprocess.Address(ip, port) }

// Start starts all programs and stand-in servers, puts a configuration, and returns once the edges are ready.
func (d *Demo) Start(ctx context.Context) error {
	for _, ip := range controllerIPs {
		d.seeds = append(d.seeds, address(ip, controlPort))
	}
	for i, ip := range controllerIPs {
		if err := d.launch(fmt.Sprintf("controller-%d", i+1), "controller", ip); err != nil {
			return err
		}
	}
	for i, ip := range edgeIPs {
		if err := d.launch(fmt.Sprintf("edge-%d", i+1), "edge", ip); err != nil {
			return err
		}
	}
	if err := d.startServers(); err != nil {
		return err
	}
	if err := d.waitUntil(ctx, "a leader takes the configuration", func() error { return d.putConfig(ctx) }); err != nil {
		return err
	}
	return d.waitUntil(ctx, "the edges are ready", func() error { return checkReadiness(ctx) })
}

func (d *Demo) startServers() error {
	for i, service := range serverServices {
		server := &Server{ID: fmt.Sprintf("i-%s-%d", service, i+1), Service: service, Zone: zone, WorkTime: workTime,
			HeartbeatInterval: heartbeat, Controllers: d.seeds}
		if err := server.Start("127.0.61.20:0"); err != nil {
			return err
		}
		d.servers = append(d.servers, server)
	}
	return nil
}

func checkReadiness(ctx context.Context) error {
	for _, ip := range edgeIPs {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address(ip, readinessPort)+"/readiness",
			http.NoBody)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		if err := resp.Body.Close(); err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s answers %d", ip, resp.StatusCode)
		}
	}
	return nil
}

// waitUntil checks a condition again and again until it holds or waitLimit is over.
func (d *Demo) waitUntil(ctx context.Context, description string, check func() error) error {
	deadline := time.Now().Add(waitLimit)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %s: %w", description, waitLimit, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

const services = `[{"name":"tags","health_path":"/health","conn_limit":60},
{"name":"ledger","health_path":"/health","conn_limit":60}]`

const routes = `[
{"name":"lookup","path_prefix":"/tags/","kind":"safe","deadline_s":2,"setpoint_s":0.3,"priority":1,"service":"tags","tries":2},
{"name":"note","path_prefix":"/notes/","kind":"unsafe","deadline_s":2,"setpoint_s":0.5,"priority":1,"service":"ledger","tries":2},
{"name":"posting","path_prefix":"/crossings/","kind":"keyed","deadline_s":2,"setpoint_s":0.5,"priority":0,"service":"ledger",
"tries":2}]`

const configuration = `{"version":"r1","services":` + services +
	`,"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_wait_s":3,"idle_s":15},` +
	`"plants":[{"plant":"` + tenant + `","channels":` + routes + `}]}`

func (d *Demo) putConfig(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+d.seeds[0]+"/config",
		bytes.NewReader([]byte(configuration)))
	if err != nil {
		return err
	}
	req.Header.Set("If-Match", "0")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(resp.Body)
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// Stop ends all in order: edges, servers, controllers. Each program has to end with code 0; the first one that does not is
// the error.
func (d *Demo) Stop() error {
	var first error
	for i := len(d.processes) - 1; i >= 0; i-- {
		p := d.processes[i]
		if p.Spec.Role == nodeprocess.Controller {
			d.stopServers()
		}
		if err := terminate(p); err != nil && first == nil {
			first = err
		}
	}
	d.processes = nil
	d.closeLogs()
	return first
}

func (d *Demo) stopServers() {
	for _, server := range d.servers {
		server.Stop()
	}
	d.servers = nil
}
