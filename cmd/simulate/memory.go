package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

const kilobytesPerMegabyte = 1 << 10

// machineMegabytes reads how much memory the machine has.
func machineMegabytes() (int, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "MemTotal:" {
			kilobytes, err := strconv.Atoi(fields[1])
			return kilobytes / kilobytesPerMegabyte, err
		}
	}
	return 0, fmt.Errorf("/proc/meminfo tells no MemTotal")
}
