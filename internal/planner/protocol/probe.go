package protocol

import (
	"math"
	"net/http"
	"strconv"
	"strings"
)

// ProbeResponse is a server's response to a probe.
type ProbeResponse struct {
	Status int
	Load   map[string]float64 // the load report; nil if there is none
}

// ProbeRequest returns the request of a probe and the exchange that decodes its answer into response.
func ProbeRequest(host string, load bool, response *ProbeResponse) ([]byte, *HTTPExchange) {
	path := "/health"
	if load {
		path = "/status/load"
	}
	var text []byte
	x := &HTTPExchange{MaxBodyBytes: MaxHeadBytes}
	x.HandleHead = func(r *http.Response) error {
		response.Status = r.StatusCode
		return nil
	}
	x.HandleBody = func(p []byte) error {
		text = append(text, p...)
		return nil
	}
	x.onComplete = func() error {
		response.Load = decodeLoad(string(text))
		return nil
	}
	return Request(host, path), x
}

// decodeLoad parses a load report such as inflight=7,util=0.61. Fields without a finite number are skipped.
func decodeLoad(text string) map[string]float64 {
	var load map[string]float64
	for field := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, ok := strings.Cut(field, "=")
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !ok || err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			continue
		}
		if load == nil {
			load = map[string]float64{}
		}
		load[strings.TrimSpace(name)] = x
	}
	return load
}
