// Command edge is the gateway's data plane: it carries the clients' traffic to the servers.
package main

import (
	"mulleinwood/internal/edge/proxy"
	"mulleinwood/internal/node"
)

func main() { node.Main("edge", "edge of the gateway", proxy.Run) }
