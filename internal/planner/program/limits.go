package program

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
)

const (
	reservedDescriptors = 32   // descriptors reserved for probes (16), discovery calls, the listener and the runtime
	defaultSockets      = 1024 // used if no limit on sockets is set
	defaultMemoryMB     = 192  // used if no memory limit is set
	bufferMemoryDivisor = 4    // connection buffers may use a fourth of the memory

	// heapLimitFraction is the fraction of the memory limit that the garbage collector keeps the heap under; the rest is for
	// stacks and the runtime.
	heapLimitFraction = 0.7
)

// Limits are the resource limits of the machine. 0 means no limit is set.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// apply sets the runtime's limits.
func (l Limits) apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(min(runtime.NumCPU(), int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapLimitFraction * float64(l.MemoryMB) * (1 << 20)))
	}
}

// multiCoreGCPercent is the percentage by which the heap of a planner on several cores may grow between two collections; the
// runtime's default is 100. Connection readers on all cores produce garbage in proportion to the reports, and each collection
// stops and slows all of them however small the heap is. The memory limit still applies. See docs/cores.md for figures.
const multiCoreGCPercent = 400

// raiseGCPercent sets multiCoreGCPercent unless the operator has set GOGC.
func raiseGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(multiCoreGCPercent)
	}
}

// maxConns returns how many connections may be accepted, given the configured limit on sockets and the system's limit on
// descriptors.
func maxConns(stated int) int {
	limit := defaultSockets
	if stated > 0 {
		limit = stated
	}
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil && system.Cur < uint64(limit) {
		limit = int(system.Cur)
	}
	return max(limit-reservedDescriptors, limit*2/3)
}

// bufferBytes returns the memory, in bytes, that the buffers of all accepted connections may use together.
func bufferBytes(megabytes int) int64 {
	if megabytes <= 0 {
		megabytes = defaultMemoryMB
	}
	return int64(megabytes) << 20 / bufferMemoryDivisor
}
