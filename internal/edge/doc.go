// Package edge groups the edge's packages: the runtime (proxy), the choice of a server (picker), what may follow a failed
// try (attempt) and what may be spent on further tries (retrybudget). Only proxy does I/O. It holds no code itself.
package edge
