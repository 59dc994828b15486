package controller

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against DENIED: the responses of acknowledged operations were on one controller only, and lost with its disk, so that
// repeats got 409 until their key's window was over.
func TestResponsesSurviveTheLossOfOneDisk(t *testing.T) {
	for _, lost := range threeVoters.Voters {
		t.Run(lost, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t)
				c.run(c.attachEdge(ipA, 1), 1, 0, 20)
				c.advance(time.Second)
				c.loseDisk(lost)
				c.advance(settleTime)
				c.expectResponses(c.attachEdge(ipB, 2), 2, 0, 20)
				c.stopAll()
			})
		})
	}
}
