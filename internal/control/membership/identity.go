package membership

import (
	"fmt"
	"strings"
)

// separator stands between the address and the number of the disk in an identity.
const separator = "#"

// Identity names a replica: its machine's IP address and a number drawn for its disk. The voters of a cluster's first start
// are named by their address alone (disk 0), since that is all they know of each other.
func Identity(ip string, disk uint64) string {
	if disk == 0 {
		return ip
	}
	return fmt.Sprintf("%s%s%x", ip, separator, disk)
}

// Address is the IP address in an identity.
func Address(id string) string {
	ip, _, _ := strings.Cut(id, separator)
	return ip
}

// Addresses are the IP addresses of several identities, each once.
func Addresses(ids []string) []string {
	var ips []string
	seen := map[string]bool{}
	for _, id := range ids {
		if ip := Address(id); !seen[ip] {
			seen[ip] = true
			ips = append(ips, ip)
		}
	}
	return ips
}
