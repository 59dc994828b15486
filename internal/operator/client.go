// Package operator is the operators' client: it calls controllers, follows them to the leader, and goes to the next when
// one doesn't answer.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Client calls a system by the control addresses of some controllers.
type Client struct {
	Addresses []string
	HTTP      *http.Client
	Progress  func(format string, args ...any) // progress of what takes long
}

// New makes a client.
func New(addresses []string, progress func(string, ...any)) *Client {
	return &Client{Addresses: addresses, Progress: progress, HTTP: &http.Client{Timeout: 3 * time.Second,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// RejectedError is a clear answer that is not a success.
type RejectedError struct {
	Status int
	Reason string
}

// Error implements error.
func (r *RejectedError) Error() string { return fmt.Sprintf("refused with %d: %s", r.Status, r.Reason) }

const (
	maxRounds    = 6
	maxRedirects = 2
)

// Call makes one call. Without a clear answer it is made again, unchanged, at the next controller, pausing for longer
// each round; a change that was taken in the meantime is known to the system by its bytes.
func (c *Client) Call(ctx context.Context, method, path string, header http.Header, body []byte) ([]byte, error) {
	var last error
	backoff := 100 * time.Millisecond
	for round := range maxRounds {
		for _, address := range c.Addresses {
			text, err := c.once(ctx, address, method, path, header, body)
			if err == nil {
				return text, nil
			}
			if refused := new(RejectedError); errors.As(err, &refused) && refused.Status < 500 {
				return nil, err
			}
			last = fmt.Errorf("%s at %s: %w", path, address, err)
			if ctx.Err() != nil {
				return nil, last
			}
		}
		if round < maxRounds-1 {
			c.Progress("no clear answer, again in %s: %v", backoff, last)
			select {
			case <-ctx.Done():
				return nil, last
			case <-time.After(backoff):
			}
			backoff *= 2
		}
	}
	return nil, last
}

func (c *Client) once(ctx context.Context, address, method, path string, header http.Header, body []byte) ([]byte, error) {
	url := "http://" + address + path
	for range maxRedirects + 1 {
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		for name, values := range header {
			req.Header[name] = values
		}
		resp, err := c.HTTP.Do(req)
		if err != nil {
			return nil, err
		}
		text, err := io.ReadAll(resp.Body)
		if err = errors.Join(err, resp.Body.Close()); err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusTemporaryRedirect:
			url = resp.Header.Get("Location")
		case resp.StatusCode/100 == 2:
			return text, nil
		default:
			var reply struct {
				Error string `json:"error"`
			}
			if json.Unmarshal(text, &reply) != nil || reply.Error == "" {
				reply.Error = strings.TrimSpace(string(text))
			}
			return nil, &RejectedError{resp.StatusCode, reply.Error}
		}
	}
	return nil, errors.New("sent on too often")
}

// Statuses asks every controller that is known for its own view, those that others are linked to included.
func (c *Client) Statuses(ctx context.Context) (statuses []Status, unreachable []string) {
	visited := map[string]bool{}
	pending := append([]string{}, c.Addresses...)
	for len(pending) > 0 {
		address := pending[0]
		pending = pending[1:]
		if visited[address] {
			continue
		}
		visited[address] = true
		text, err := c.once(ctx, address, http.MethodGet, "/status", nil, nil)
		var status Status
		if err != nil || json.Unmarshal(text, &status) != nil {
			unreachable = append(unreachable, address)
			continue
		}
		statuses = append(statuses, status)
		pending = append(pending, status.Control...)
	}
	return statuses, unreachable
}

// Status is how one controller sees the system.
type Status struct {
	Node              string   `json:"node"`
	IP                string   `json:"ip"`
	Zone              string   `json:"zone"`
	InContact         bool     `json:"attached"`
	Version           string   `json:"version"`
	Leader            string   `json:"leader"`
	Members           []string `json:"members"`
	Term              uint64   `json:"term"`
	Commit            uint64   `json:"commit"`
	LastIndex         uint64   `json:"last"`
	Recovering        bool     `json:"ledger_blank"`
	Keys              int      `json:"keys"`
	DiskFailing       bool     `json:"disk_refuses"`
	DiskMs            float64  `json:"disk_ms"`
	Edges             []string `json:"edges"`
	Controllers       []string `json:"exchanges"`
	Control           []string `json:"control"`
	Servers           []Server `json:"servers"`
	BookingShortfalls []string `json:"endangered,omitempty"` // bookings that can't be kept, as the leader sees it

	Membership Membership `json:"membership"`
}

// Membership is what a controller knows of who votes.
type Membership struct {
	Identity     string    `json:"identity"` // the controller's own
	Cluster      string    `json:"cluster"`
	Epoch        uint64    `json:"epoch"`
	Voters       []string  `json:"voters"`
	Next         []string  `json:"next,omitempty"` // while a change is under way
	Votes        bool      `json:"votes"`
	ShuttingDown bool      `json:"leaving,omitempty"`
	Replicas     []Replica `json:"replicas,omitempty"` // as the leader sees them
}

// Replacement is a call that replaces a voter.
type Replacement struct {
	Voter  string `json:"voter"`        // its identity
	By     string `json:"by,omitempty"` // of who takes its place; empty: whoever stands by
	DryRun bool   `json:"dry_run,omitempty"`
}

// ReplacementResult is what such a call leads to.
type ReplacementResult struct {
	Epoch  uint64   `json:"epoch"`
	Voters []string `json:"voters"`
	Next   []string `json:"next"`
}

// Replica is another controller as the leader sees it.
type Replica struct {
	Identity     string `json:"identity"`
	Votes        bool   `json:"votes"`
	Connected    bool   `json:"linked"`
	Ready        bool   `json:"ready"` // its store of claims may grant
	ShuttingDown bool   `json:"leaving,omitempty"`
	Epoch        uint64 `json:"epoch"`
	Lag          uint64 `json:"behind"` // entries that it lacks, of those that are committed
}

// Server is a server as a controller sees it.
type Server struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Zone     string  `json:"zone"`
	Address  string  `json:"address"`
	State    string  `json:"state"`
	TimedOut bool    `json:"silent"`
	Capacity int     `json:"capacity"`
	Weight   float64 `json:"weight"`
}

// Faults are what an operator should look at, a line each.
func Faults(statuses []Status, unreachable []string) (faults []string) {
	for _, at := range unreachable {
		faults = append(faults, at+" does not answer")
	}
	leaders, newest := map[string]bool{}, uint64(0)
	for _, v := range statuses {
		if v.Leader != "" {
			leaders[v.Leader] = true
		}
		newest = max(newest, v.Commit)
	}
	if len(leaders) == 0 {
		faults = append(faults, "nobody leads: configurations can't be changed")
	} else if len(leaders) > 1 {
		faults = append(faults, "controllers don't agree on who leads")
	}
	for _, v := range statuses {
		addIf := func(cond bool, what string) {
			if cond {
				faults = append(faults, v.Node+" "+what)
			}
		}
		addIf(!v.InContact, "is cut off from the core")
		addIf(v.Commit < newest, fmt.Sprintf("lags: it is at change %d of %d", v.Commit, newest))
		faults = append(faults, v.BookingShortfalls...)
		addIf(v.Recovering && v.Membership.Votes, "has an empty disk that is not restored yet")
		addIf(v.DiskFailing, "has a disk that refuses writes")
		addIf(v.DiskMs > 50, fmt.Sprintf("has a slow disk: %.0f ms a write", v.DiskMs))
	}
	return faults
}
