package node

import (
	"os"
	"os/signal"
	"syscall"
)

// Reloads hands out a value for each SIGHUP, which the platform sends when the settings file has changed. It is called
// before the file is read for the first time, so that a change after that is not missed. Until then a SIGHUP is ignored
// where the program was built with cgo (hangup_cgo.go): what it tells of is in the file that is read later. Without cgo it
// ends a process that is just starting, as the system does to any.
func Reloads() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
