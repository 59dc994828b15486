// Command controller is the gateway's control process: it agrees with the others on the configuration, keeps the register
// of servers and the claim store of keyed operations, and decides the weights that the edges send by.
package main

import (
	"mulleinwood/internal/control/controller"
	"mulleinwood/internal/node"
)

func main() { node.Main("controller", "control process of the gateway", controller.Run) }
