package controller

import "time"

// wallClock returns this machine's wall clock time, in seconds since the Unix epoch.
func wallClock() float64 { return float64(time.Now().UnixNano()) / float64(time.Second) }
