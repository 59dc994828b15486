package controller

import "time"

// wallClock is this machine's time of day, in seconds since 1970.
func wallClock() float64 { return float64(time.Now().UnixNano()) / float64(time.Second) }
