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

// startTimeout is how long a planner may take until it listens.
const startTimeout = 10 * time.Second

// Planner is a planner in a process of its own.
type Planner struct {
	Address   string
	cmd       *exec.Cmd
	exited    chan error
	tail      *logTail
	directory string
}

// logTail keeps the last lines of a planner's log.
type logTail struct{ lines [][]byte }

func (t *logTail) add(line []byte) {
	if t.lines = append(t.lines, bytes.Clone(line)); len(t.lines) > 20 {
		t.lines = t.lines[1:]
	}
}

// start runs a planner of so many cores. It dies with this process.
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
		return nil, fmt.Errorf("starting a planner: %w", err)
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
		return nil, fmt.Errorf("the planner ended at its start: %w: %s", err, p.lastLog())
	case <-time.After(startTimeout):
		p.Stop()
		return nil, errors.New("the planner doesn't listen")
	}
}

// lastLog is what the planner logged last. To be called once it has ended.
func (p *Planner) lastLog() string { return string(bytes.Join(p.tail.lines, []byte("\n"))) }

// Stop ends the planner by SIGTERM, and by SIGKILL if that doesn't end it.
func (p *Planner) Stop() error {
	defer os.RemoveAll(p.directory)
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		if err != nil {
			return fmt.Errorf("the planner ended with %w: %s", err, p.lastLog())
		}
		return nil
	case <-time.After(startTimeout):
		p.cmd.Process.Kill()
		<-p.exited
		return errors.New("the planner didn't end on SIGTERM")
	}
}

// usage is what a process has used: seconds of processors, and resident memory in KiB.
type usage struct{ cpuSeconds, memoryKiB float64 }

const ticksPerSecond = 100 // of /proc on Linux, whatever the kernel's own rate

func (p *Planner) usage() (usage, error) {
	pid := strconv.Itoa(p.cmd.Process.Pid)
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return usage{}, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 22 {
		return usage{}, errors.New("/proc: a short line")
	}
	var figures [3]float64
	for i, at := range []int{11, 12, 21} { // user, system, resident pages
		if figures[i], err = strconv.ParseFloat(fields[at], 64); err != nil {
			return usage{}, err
		}
	}
	return usage{(figures[0] + figures[1]) / ticksPerSecond, figures[2] * float64(os.Getpagesize()) / 1024}, nil
}
