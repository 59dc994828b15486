package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// clientRequest is a request as a client of the tenant sends it.
type clientRequest struct {
	edge         int // 1 or 2
	method, path string
	body         string
	operationKey string // of keyed requests
}

// clientResponse is what came back.
type clientResponse struct {
	status     int
	body       string
	retryAfter string // seconds, empty unless the request was refused
}

// send sends a request, and again when it is refused and told when to come back, as clients do.
func (d *Demo) send(ctx context.Context, request clientRequest) (response clientResponse, err error) {
	for range maxSends {
		response, err = request.sendOnce(ctx)
		if err != nil || response.retryAfter == "" {
			return response, err
		}
		seconds, err := strconv.ParseFloat(response.retryAfter, 64)
		if err != nil {
			return response, fmt.Errorf("Retry-After: %w", err)
		}
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
	return response, err
}

func (request clientRequest) sendOnce(ctx context.Context) (clientResponse, error) {
	url := "http://" + address(edgeIPs[request.edge-1], clientPort) + request.path
	req, err := http.NewRequestWithContext(ctx, request.method, url, strings.NewReader(request.body))
	if err != nil {
		return clientResponse{}, err
	}
	req.Host = tenant
	req.Header.Set("X-Attempt-Id", fmt.Sprintf("try-%d", time.Now().UnixNano()))
	req.Header.Set("X-Deadline-Ms", "2000")
	if request.operationKey != "" {
		req.Header.Set("X-Operation-Key", request.operationKey)
	}
	resp, err := (&http.Client{Timeout: requestLimit}).Do(req)
	if err != nil {
		return clientResponse{}, err
	}
	text, err := io.ReadAll(resp.Body)
	err = errors.Join(err, resp.Body.Close())
	return clientResponse{resp.StatusCode, strings.TrimSpace(string(text)), resp.Header.Get("Retry-After")}, err
}

// Try sends a request of each kind, repeats the keyed one through the other edge, and lets a server leave. It prints what
// comes back.
func (d *Demo) Try(ctx context.Context) error {
	keyed := clientRequest{edge: 1, method: http.MethodPost, path: "/crossings/7", body: "a crossing", operationKey: "k-7"}
	repeated := keyed
	repeated.edge = 2
	var responses []clientResponse
	for _, sent := range []struct {
		name    string
		request clientRequest
	}{
		{"safe", clientRequest{edge: 1, method: http.MethodGet, path: "/tags/7"}},
		{"unsafe", clientRequest{edge: 1, method: http.MethodPost, path: "/notes/7", body: "a note"}},
		{"keyed", keyed},
		{"keyed, again at another edge", repeated},
	} {
		response, err := d.send(ctx, sent.request)
		if err != nil {
			return fmt.Errorf("%s: %w", sent.name, err)
		}
		fmt.Fprintf(d.Out, "%-30s %s %-13s -> %d %s\n", sent.name, sent.request.method, sent.request.path, response.status,
			response.body)
		if response.status != http.StatusOK {
			return fmt.Errorf("%s: status %d", sent.name, response.status)
		}
		responses = append(responses, response)
	}
	if last := len(responses) - 1; responses[last].body != responses[last-1].body {
		return errors.New("the repeat was answered otherwise than the first")
	}
	if runs := d.runsOf(keyed.operationKey); runs != 1 {
		return fmt.Errorf("the keyed operation ran %d times", runs)
	}
	fmt.Fprintln(d.Out, "the keyed operation ran once")
	return d.tryDrain(ctx)
}

func (d *Demo) runsOf(operationKey string) int {
	runs := 0
	for _, server := range d.servers {
		runs += server.Runs()[operationKey]
	}
	return runs
}

// tryDrain lets the first server leave, and makes sure that it gets no request after the acknowledgement.
func (d *Demo) tryDrain(ctx context.Context) error {
	leaving := d.servers[0]
	if !leaving.Drain(ctx) {
		return errors.New("a server that leaves was not acknowledged")
	}
	for range 5 {
		response, err := d.send(ctx, clientRequest{edge: 2, method: http.MethodGet, path: "/tags/8"})
		if err != nil {
			return fmt.Errorf("after a server left: %w", err)
		}
		if response.status != http.StatusOK || strings.Contains(response.body, leaving.ID) {
			return fmt.Errorf("after a server left: %d %s", response.status, response.body)
		}
	}
	_, err := fmt.Fprintln(d.Out, "a server that leaves gets nothing more")
	return err
}

// Reload tells all programs that their settings files have changed, and makes sure that they go on serving.
func (d *Demo) Reload(ctx context.Context) error {
	for _, p := range d.processes {
		if err := p.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	for range 5 {
		response, err := d.send(ctx, clientRequest{edge: 1, method: http.MethodGet, path: "/tags/9"})
		if err != nil {
			return fmt.Errorf("after a reload: %w", err)
		}
		if response.status != http.StatusOK {
			return fmt.Errorf("after a reload: %d %s", response.status, response.body)
		}
	}
	for _, p := range d.processes {
		if err := p.CheckRunning(); err != nil {
			return fmt.Errorf("after a reload: %w", err)
		}
	}
	_, err := fmt.Fprintln(d.Out, "a reload interrupts nothing")
	return err
}
