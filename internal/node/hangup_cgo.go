//go:build cgo

package node

/*
#include <signal.h>

// Runs when the program is loaded, before the Go runtime and the initialization of all packages, which takes tens of
// milliseconds. The Go runtime leaves a SIGHUP alone that it finds ignored, until signal.Notify asks for it.
__attribute__((constructor)) static void ignore_early_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
