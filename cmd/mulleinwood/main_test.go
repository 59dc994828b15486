package main

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// TestMain lets the test binary stand in for the program.
func TestMain(m *testing.M) {
	if os.Getenv("MULLEINWOOD_RUN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// command is a run of the program with these variables and no others.
func command(variables ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(variables, "MULLEINWOOD_RUN=1")
	return cmd
}

func TestBadStart(t *testing.T) {
	const config = "NODE_CONFIG=../../examples/planner.json"
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for _, tc := range []struct {
		variables []string
		says      string
	}{
		{nil, "NODE_CONFIG is not set"},
		{[]string{"NODE_CONFIG=no/such/file"}, "no/such/file"},
		{[]string{config, "NODE_LISTEN=nowhere"}, "NODE_LISTEN"},
		{[]string{config, "NODE_LISTEN=127.0.0.1:0", "NODE_DISCOVERY=:x"}, "NODE_DISCOVERY"},
		{[]string{config, "NODE_LISTEN=" + taken.Addr().String()}, taken.Addr().String()},
	} {
		out, err := command(tc.variables...).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 || !strings.Contains(string(out), tc.says) ||
			bytes.Count(out, []byte("\n")) != 1 || !bytes.HasPrefix(out, []byte("mulleinwood: ")) || strings.Contains(string(out), "goroutine") {
			t.Errorf("%v: %v, output %q; want code 2 and one line that names %s", tc.variables, err, out, tc.says)
		}
	}
}

// TestTerminate guards against a program that ends on SIGHUP, or doesn't on SIGTERM.
func TestTerminate(t *testing.T) {
	cmd := command("NODE_CONFIG=../../examples/planner.json", "NODE_LISTEN=127.0.0.1:0", "NODE_DISCOVERY=127.0.0.1:1")
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() || !strings.Contains(lines.Text(), "planner starts") {
		t.Errorf("first line %q", lines.Text())
	}
	for range 2 {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		for lines.Scan() && !strings.Contains(lines.Text(), "configuration taken over") {
		}
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	last := ""
	for lines.Scan() {
		last = lines.Text()
	}
	if err := cmd.Wait(); err != nil || !strings.Contains(last, "planner ends") {
		t.Errorf("after SIGTERM: %v, last line %q", err, last)
	}
}
