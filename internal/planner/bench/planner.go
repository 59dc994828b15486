package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"mulleinwood/internal/planner/protocol"
)

func marshal(v any) ([]byte, error) { return json.Marshal(v) }

// startTimeout limits the time until a planner listens, and the time until it exits on SIGTERM.
const startTimeout = 10 * time.Second

// Planner is a planner that runs as a child process.
type Planner struct {
	Address   string
	cmd       *exec.Cmd
	exited    chan error
	tail      *logTail
	directory string
}

// logTail keeps the last 20 lines of a planner's log.
type logTail struct{ lines [][]byte }

func (t *logTail) add(line []byte) {
	if t.lines = append(t.lines, bytes.Clone(line)); len(t.lines) > 20 {
		t.lines = t.lines[1:]
	}
}

// start runs a planner with the given number of cores and waits until it listens. The kernel kills the planner when this
// process dies.
func (f Fleet) start(ctx context.Context, command []string, discovery string, cores, sockets int, grpc bool) (*Planner, error) {
	directory, err := os.MkdirTemp("", "mulleinwood-bench-")
	if err != nil {
		return nil, err
	}
	p := &Planner{directory: directory, exited: make(chan error, 1), tail: &logTail{}}
	config, err := marshal(map[string]any{"name": "bench", "listen": "127.0.0.1:0", "discovery": discovery,
		"seed":   strconv.FormatUint(f.Seed, 16),
		"limits": map[string]any{"cores": cores, "memory_mb": 4096, "sockets": sockets}, "settings": f.settings(),
		"known": protocol.List{Members: []protocol.Member{}}})
	if err == nil {
		err = os.WriteFile(filepath.Join(directory, "config.json"), config, 0o600)
	}
	if err == nil {
		err = os.WriteFile(filepath.Join(directory, "own.jsonc"),
			fmt.Appendf(nil, "{\"cores\": {\"count\": %d}, \"grpc\": {\"enabled\": %t}}\n", cores, grpc), 0o600)
	}
	if err != nil {
		os.RemoveAll(directory)
		return nil, err
	}
	p.cmd = exec.CommandContext(ctx, command[0], command[1:]...)
	p.cmd.Env = append(os.Environ(), "NODE_CONFIG="+filepath.Join(directory, "config.json"),
		"MULLEINWOOD_SETTINGS="+filepath.Join(directory, "own.jsonc"),
		"NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=")
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := p.cmd.StderrPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		os.RemoveAll(directory)
		return nil, fmt.Errorf("start planner: %w", err)
	}
	listening := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.tail.add(lines.Bytes())
			var line struct{ Message, Listen string }
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "planner starts" {
				listening <- line.Listen
			}
		}
		p.exited <- p.cmd.Wait()
	}()
	select {
	case p.Address = <-listening:
		return p, nil
	case err := <-p.exited:
		os.RemoveAll(directory)
		return nil, fmt.Errorf("planner exited during startup: %w: %s", err, p.lastLog())
	case <-time.After(startTimeout):
		p.Stop()
		return nil, errors.New("planner does not listen: startup timed out")
	}
}

// lastLog returns the last lines of the planner's log. It may be called only after the planner has exited.
func (p *Planner) lastLog() string { return string(bytes.Join(p.tail.lines, []byte("\n"))) }

// Stop terminates the planner with SIGTERM, and with SIGKILL after startTimeout.
func (p *Planner) Stop() error {
	defer os.RemoveAll(p.directory)
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		if err != nil {
			return fmt.Errorf("planner exited: %w: %s", err, p.lastLog())
		}
		return nil
	case <-time.After(startTimeout):
		p.cmd.Process.Kill()
		<-p.exited
		return errors.New("planner did not exit on SIGTERM")
	}
}

// usage is the CPU time in seconds and the resident memory in KiB of a process.
type usage struct{ cpuSeconds, memoryKiB float64 }

const ticksPerSecond = 100 // unit of CPU times in /proc on Linux, independent of the kernel's timer frequency

func (p *Planner) usage() (usage, error) {
	pid := strconv.Itoa(p.cmd.Process.Pid)
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return usage{}, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 22 {
		return usage{}, errors.New("/proc: stat line has too few fields")
	}
	var figures [3]float64
	for i, at := range []int{11, 12, 21} { // user time, system time, resident pages
		if figures[i], err = strconv.ParseFloat(fields[at], 64); err != nil {
			return usage{}, err
		}
	}
	return usage{(figures[0] + figures[1]) / ticksPerSecond, figures[2] * float64(os.Getpagesize()) / 1024}, nil
}
