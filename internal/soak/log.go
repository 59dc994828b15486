package soak

import (
	"bytes"
	"fmt"
	"os"
	"sync"
)

// stampedLog writes the output of a process to a file and prefixes each line with the time since the start of the run in seconds.
type stampedLog struct {
	recorder *recorder
	out      *os.File

	mu      sync.Mutex
	partial []byte // incomplete last line
}

// Write implements io.Writer.
func (l *stampedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial = append(l.partial, p...)
	for {
		line, rest, found := bytes.Cut(l.partial, []byte("\n"))
		if !found {
			return len(p), nil
		}
		if _, err := fmt.Fprintf(l.out, "%8.3f %s\n", l.recorder.now().Seconds(), line); err != nil {
			return 0, err
		}
		l.partial = append([]byte(nil), rest...)
	}
}
