package program

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
)

const (
	reservedDescriptors = 32   // descriptors kept for probes (16), calls to discovery, the listener and the runtime
	defaultSockets      = 1024 // where no limit is stated
	defaultMemoryMB     = 192  // megabytes, likewise
	bufferMemoryDivisor = 4    // a fourth of the memory is for the buffers of connections

	// heapLimitFraction of the limit is what the collector keeps the heap under; the rest is for stacks and the runtime.
	heapLimitFraction = 0.7
)

// Limits of the machine. 0 stands for not stated.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// apply holds the runtime to the limits.
func (l Limits) apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(min(runtime.NumCPU(), int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapLimitFraction * float64(l.MemoryMB) * (1 << 20)))
	}
}

// multiCoreGCPercent is by how much the heap of a planner on several cores may grow between two collections; the runtime's own
// default is 100. Readers on all cores leave garbage in proportion to the reports; a collection stops and costs all of them
// however small the heap is. The memory limit still holds. docs/cores.md has the figures.
const multiCoreGCPercent = 400

// raiseGCPercent sets that, unless the operator has said otherwise by GOGC.
func raiseGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(multiCoreGCPercent)
	}
}

// maxConns is how many may be accepted under the limit on descriptors, stated or set by the system.
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

// bufferBytes is the memory that the buffers of all accepted connections may take together.
func bufferBytes(megabytes int) int64 {
	if megabytes <= 0 {
		megabytes = defaultMemoryMB
	}
	return int64(megabytes) << 20 / bufferMemoryDivisor
}
