//go:build cgo

package node

import (
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// A process survives a SIGHUP that comes before it listens to it, and is told of those that come later. This test's own
// process is one: its packages were initialized with SIGHUP ignored.
func TestEarlyHangupDoesNotEndTheProcess(t *testing.T) {
	if !signal.Ignored(syscall.SIGHUP) {
		t.Fatal("SIGHUP has the system's action, which ends the process, while it starts")
	}
	hangUp := func() {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hangUp()
	reloads := Reloads()
	hangUp()
	select {
	case <-reloads:
	case <-time.After(10 * time.Second):
		t.Error("a SIGHUP that is listened to is not handed out")
	}
}
