package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"mulleinwood/internal/platform/nodesettings"
)

// Demo is a gateway of three controllers and two edges, each a process of its own on its own loopback address.
type Demo struct {
	Dir  string // holds settings, disks and logs
	Bin  string // holds the programs
	Out  io.Writer
	Tail bool // print the programs' logs

	procs   []*proc
	servers []*Server
	seeds   []string
}

type proc struct {
	name string
	cmd  *exec.Cmd
	done chan error
}

const (
	controlPort   = 18649
	clientPort    = 18641
	readinessPort = 18640
	innerPort     = 17620
	calm          = 15 * time.Second
	comeBack      = 5 // times that a request which was refused is sent again
)

func (d *Demo) settings(name, role, ip string, first bool) string {
	controller := role == "controller"
	data, listen := "null", fmt.Sprintf("  front: %q\n  readiness: %q\n", address(ip, clientPort), address(ip, readinessPort))
	if controller {
		data, listen = fmt.Sprintf("%q", filepath.Join(d.Dir, name)), fmt.Sprintf("  control: %q\n", address(ip, controlPort))
	}
	seeds := ""
	for _, s := range d.seeds {
		seeds += fmt.Sprintf("  - %q\n", s)
	}
	return fmt.Sprintf("node: %q\nrole: %q\nip: %q\nzone: \"hall\"\nzones:\n  hall: \"here\"\nlisten:\n%sinner_port_range:\n  - %d\n  - %d\nseeds:\n%sfirst_start: %t\ndata_dir: %s\nbeat_period_s: 0.5\nbounds:\n  - \"drain_s=2\"\n  - \"grace_s=6\"\n  - \"retry_ratio=0.2\"\n  - \"retry_window_s=10\"\n  - \"retry_slack=60\"\n  - \"key_window_s=60\"\n",
		name, role, ip, listen, innerPort, innerPort+15, seeds, first, data)
}

func address(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// Start starts all programs and stand-in servers, and puts a configuration.
func (d *Demo) Start(ctx context.Context) error {
	controllers := []string{"127.0.61.1", "127.0.61.2", "127.0.61.3"}
	for _, ip := range controllers {
		d.seeds = append(d.seeds, address(ip, controlPort))
	}
	for i, ip := range controllers {
		if err := d.launch(fmt.Sprintf("controller-%d", i+1), "controller", ip); err != nil {
			return err
		}
	}
	for i, ip := range []string{"127.0.61.11", "127.0.61.12"} {
		if err := d.launch(fmt.Sprintf("edge-%d", i+1), "edge", ip); err != nil {
			return err
		}
	}
	for i, service := range []string{"tags", "tags", "ledger", "ledger"} {
		s := &Server{ID: fmt.Sprintf("i-%s-%d", service, i+1), Service: service, Zone: "hall", Work: 20 * time.Millisecond,
			Beat: 500 * time.Millisecond, Controllers: d.seeds}
		if err := s.Start("127.0.61.20:0"); err != nil {
			return err
		}
		d.servers = append(d.servers, s)
	}
	if err := d.until(ctx, "a leader takes the configuration", func() error { return d.put() }); err != nil {
		return err
	}
	return d.until(ctx, "the edges are ready", func() error {
		for _, ip := range []string{"127.0.61.11", "127.0.61.12"} {
			resp, err := http.Get("http://" + address(ip, readinessPort) + "/readiness")
			if err != nil {
				return err
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("%s says %d", ip, resp.StatusCode)
			}
		}
		return nil
	})
}

// until asks again until something holds or its time is over.
func (d *Demo) until(ctx context.Context, what string, holds func() error) error {
	deadline := time.Now().Add(calm)
	for {
		err := holds()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %s: %w", what, calm, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (d *Demo) launch(name, role, ip string) error {
	path := filepath.Join(d.Dir, name+".yaml")
	if err := os.WriteFile(path, []byte(d.settings(name, role, ip, true)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.Dir, name+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(d.Bin, role))
	cmd.Env = append(os.Environ(), nodesettings.Variable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if d.Tail {
		cmd.Stdout, cmd.Stderr = d.Out, d.Out
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	p := &proc{name: name, cmd: cmd, done: make(chan error, 1)}
	go func() { p.done <- cmd.Wait(); log.Close() }()
	d.procs = append(d.procs, p)
	return nil
}

const plan = `{"version":"r1","services":[{"name":"tags","health_path":"/health","conn_limit":60},{"name":"ledger","health_path":"/health","conn_limit":60}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_wait_s":3,"idle_s":15},"plants":[{"plant":"toll.example","channels":[` +
	`{"name":"lookup","path_prefix":"/tags/","kind":"safe","deadline_s":2,"setpoint_s":0.3,"priority":1,"service":"tags","tries":2},` +
	`{"name":"note","path_prefix":"/notes/","kind":"unsafe","deadline_s":2,"setpoint_s":0.5,"priority":1,"service":"ledger","tries":2},` +
	`{"name":"posting","path_prefix":"/crossings/","kind":"keyed","deadline_s":2,"setpoint_s":0.5,"priority":0,"service":"ledger","tries":2}]}]}`

func (d *Demo) put() error {
	req, err := http.NewRequest(http.MethodPut, "http://"+d.seeds[0]+"/config", bytes.NewReader([]byte(plan)))
	if err != nil {
		return err
	}
	req.Header.Set("If-Match", "0")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// Ask sends a request through an edge, and again when it is refused and told when to come back, as clients do.
func (d *Demo) Ask(edge int, method, path, body string, headers ...string) (status int, text string, err error) {
	for range comeBack {
		var after string
		if status, text, after, err = d.once(edge, method, path, body, headers...); err != nil || after == "" {
			return status, text, err
		}
		if s, err := strconv.ParseFloat(after, 64); err == nil {
			time.Sleep(time.Duration(s * float64(time.Second)))
		}
	}
	return status, text, err
}

func (d *Demo) once(edge int, method, path, body string, headers ...string) (status int, answer, retryAfter string, err error) {
	req, err := http.NewRequest(method, "http://"+address(fmt.Sprintf("127.0.61.1%d", edge), clientPort)+path,
		strings.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	req.Host = "toll.example"
	req.Header.Set("X-Attempt-Id", fmt.Sprintf("try-%d", time.Now().UnixNano()))
	req.Header.Set("X-Deadline-Ms", "2000")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text)), resp.Header.Get("Retry-After"), err
}

// Try sends a request of each kind and shows what comes back; a repeat of the operation goes through the other edge.
func (d *Demo) Try() error {
	answers := map[string]string{}
	for _, r := range []struct {
		name, method, path, body, key string
		edge                          int
	}{
		{"safe", "GET", "/tags/7", "", "", 1},
		{"unsafe", "POST", "/notes/7", "a note", "", 1},
		{"keyed", "POST", "/crossings/7", "a crossing", "k-7", 1},
		{"keyed, again at another edge", "POST", "/crossings/7", "a crossing", "k-7", 2},
	} {
		status, text, err := d.Ask(r.edge, r.method, r.path, r.body, "X-Operation-Key", r.key)
		if err != nil {
			return fmt.Errorf("%s: %w", r.name, err)
		}
		fmt.Fprintf(d.Out, "%-30s %s %-13s -> %d %s\n", r.name, r.method, r.path, status, text)
		if status != http.StatusOK {
			return fmt.Errorf("%s: status %d", r.name, status)
		}
		answers[r.name] = text
	}
	if answers["keyed"] != answers["keyed, again at another edge"] {
		return fmt.Errorf("the repeat was answered otherwise than the first")
	}
	runs := 0
	for _, s := range d.servers {
		runs += s.Ran()["k-7"]
	}
	if runs != 1 {
		return fmt.Errorf("the keyed operation ran %d times", runs)
	}
	fmt.Fprintln(d.Out, "the keyed operation ran once")
	if !d.servers[0].Drain() {
		return fmt.Errorf("a server that leaves was not acknowledged")
	}
	for range 5 {
		status, text, err := d.Ask(2, "GET", "/tags/8", "")
		if err != nil || status != http.StatusOK || strings.Contains(text, d.servers[0].ID) {
			return fmt.Errorf("after a server said that it leaves: %d %s %v", status, text, err)
		}
	}
	fmt.Fprintln(d.Out, "a server that leaves gets nothing more")
	return nil
}

// Reload tells all programs that their settings files have changed, and makes sure that they live on.
func (d *Demo) Reload() error {
	for _, p := range d.procs {
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	for range 5 {
		if status, text, err := d.Ask(1, "GET", "/tags/9", ""); err != nil || status != http.StatusOK {
			return fmt.Errorf("after a reload: %d %s %v", status, text, err)
		}
	}
	for _, p := range d.procs {
		select {
		case err := <-p.done:
			return fmt.Errorf("%s ended on a reload: %v", p.name, err)
		default:
		}
	}
	fmt.Fprintln(d.Out, "a reload interrupts nothing")
	return nil
}

// Status reads a controller's view.
func (d *Demo) Status() (map[string]any, error) {
	resp, err := http.Get("http://" + d.seeds[0] + "/status")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var s map[string]any
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// Stop ends all in order: edges, servers, controllers; each program has to end with code 0.
func (d *Demo) Stop() error {
	var first error
	for i := len(d.procs) - 1; i >= 0; i-- {
		p := d.procs[i]
		if strings.HasPrefix(p.name, "controller") && len(d.servers) > 0 {
			for _, s := range d.servers {
				s.Stop()
			}
			d.servers = nil
		}
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil && first == nil {
			first = fmt.Errorf("stop %s: %w", p.name, err)
		}
		select {
		case err := <-p.done:
			if err != nil && first == nil {
				first = fmt.Errorf("%s ended with %w", p.name, err)
			}
		case <-time.After(calm):
			_ = p.cmd.Process.Kill() // it did not end when told to: reported below
			if first == nil {
				first = fmt.Errorf("%s did not end within %s", p.name, calm)
			}
		}
	}
	d.procs = nil
	return first
}
