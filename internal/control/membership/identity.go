package membership

import (
	"fmt"
	"strings"
)

// separator separates the address from the number of the disk in an identity.
const separator = "#"

// Identity returns the identity of a replica: its machine's IP address and the random number of its disk. The identities of the
// voters at a cluster's first start are their addresses alone (disk 0), since they have no other data about each other.
func Identity(ip string, disk uint64) string {
	if disk == 0 {
		return ip
	}
	return fmt.Sprintf("%s%s%x", ip, separator, disk)
}

// Address returns the IP address in an identity.
func Address(id string) string {
	ip, _, _ := strings.Cut(id, separator)
	return ip
}

// Addresses returns the IP addresses of several identities without duplicates, in the order of their first occurrence.
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
