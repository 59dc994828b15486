package soak

import (
	"strings"
	"testing"
)

// The page contains latencies only of requests with a response, and the shutdown time of each edge that exited gracefully.
func TestPage(t *testing.T) {
	record := lost(5270 * millis)()
	request, _ := successful(Note)
	record.Requests = append(record.Requests, request)
	record.Processes = append(record.Processes, ProcessChange{At: at + 530*millis, Node: anEdge, What: Ended},
		ProcessChange{At: at + second, Node: "edge-2", What: Terminated}, ProcessChange{At: at + second + millis, Node: "edge-2", What: Killed},
		ProcessChange{At: at + 2*second, Node: "edge-2", What: Ended})
	var summary Summary
	summary.Add(&Outcome{Record: record, Breaches: Audit(record)})
	var page strings.Builder
	if err := summary.WritePage(&page); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"1 runs, 1 with a breach", "<td>note</td><td>1</td><td>50", "<td>5.5s to 6s</td><td>1</td>"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q:\n%s", want, page.String())
		}
	}
	if strings.Contains(page.String(), "<td>lookup</td>") {
		t.Error("the page has a latency of a request without a response")
	}
}
