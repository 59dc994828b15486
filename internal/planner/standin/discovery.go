package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"mulleinwood/internal/planner/protocol"
)

// keepaliveInterval is the interval of the empty lines that a watch sends while nothing changes.
const keepaliveInterval = 2 * time.Second

// Discovery is a discovery service: it holds a list of servers, returns all of it and streams changes to watches.
type Discovery struct {
	*service
	mu              sync.Mutex
	revision        int64
	members         map[string]protocol.Member
	changeRevisions map[string]int64 // revision of each member's last change
	nextChange      chan struct{}    // closed at the next change
	finishWatches   chan struct{}    // closed to end the watches gracefully
	down            bool
	silent          bool
	garbled         string // replaces the next line of one watch
	watches         int    // watches started so far
}

// NewDiscovery starts a discovery service on the address.
func NewDiscovery(address string) (*Discovery, error) {
	s, err := listen(address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{service: s, members: map[string]protocol.Member{}, changeRevisions: map[string]int64{},
		nextChange: make(chan struct{}), finishWatches: make(chan struct{})}
	s.serve(d.handle)
	return d, nil
}

// Change adds or replaces members. A member in the phase removed leaves the list.
func (d *Discovery) Change(members ...protocol.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, m := range members {
		d.members[m.ID], d.changeRevisions[m.ID] = m, d.revision
	}
	close(d.nextChange)
	d.nextChange = make(chan struct{})
}

// SetDown sets whether every call fails with status 503. Going down also resets the open connections.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	d.down = down
	d.mu.Unlock()
	if down {
		d.Break()
	}
}

// Finish ends the open watches gracefully with the last chunk.
func (d *Discovery) Finish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.finishWatches)
	d.finishWatches = make(chan struct{})
}

// SetSilent sets whether new watches receive no bytes at all, as if the machine had vanished.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

// Garble makes the next line that a watch sends contain the text in place of a list.
func (d *Discovery) Garble(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.garbled = text
	close(d.nextChange)
	d.nextChange = make(chan struct{})
}

// Watches returns the number of watches started so far.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

// List returns the members that changed after the revision from, and a channel that is closed at the next change. The list
// is complete if from is negative, or if it is a revision not reached yet: that revision belongs to another service, and the
// changes since it are unknown.
func (d *Discovery) List(from int64) (list protocol.List, next chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	complete := from < 0 || from > d.revision
	list = protocol.List{Revision: d.revision, Complete: complete, Members: []protocol.Member{}}
	for _, id := range slices.Sorted(maps.Keys(d.members)) {
		m := d.members[id]
		if list.Complete && m.Phase != protocol.PhaseRemoved || !list.Complete && d.changeRevisions[id] > from {
			list.Members = append(list.Members, m)
		}
	}
	return list, d.nextChange
}

func (d *Discovery) handle(nc net.Conn, r *http.Request) error {
	d.mu.Lock()
	down := d.down
	d.mu.Unlock()
	switch query := r.URL.Query(); {
	case down:
		return writeResponse(nc, http.StatusServiceUnavailable, "")
	case r.URL.Path != "/v1/endpoints":
		return writeResponse(nc, http.StatusNotFound, "")
	case query.Get("watch") == "1":
		from, err := strconv.ParseInt(query.Get("from"), 10, 64)
		if err != nil {
			return writeResponse(nc, http.StatusBadRequest, "")
		}
		return d.watch(nc, from)
	default:
		list, _ := d.List(-1)
		text, err := json.Marshal(list)
		if err != nil {
			return err
		}
		return writeResponse(nc, http.StatusOK, string(text))
	}
}

// watch streams changes after the revision from until the connection or the service ends.
func (d *Discovery) watch(nc net.Conn, from int64) error {
	d.mu.Lock()
	d.watches++
	finish, silent := d.finishWatches, d.silent
	d.mu.Unlock()
	if silent {
		<-d.closed
		return net.ErrClosed
	}
	header := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for {
		list, next := d.List(from)
		d.mu.Lock()
		garbled := d.garbled
		d.garbled = ""
		d.mu.Unlock()
		line := []byte("\n")
		if list.Revision > from || list.Complete {
			text, err := json.Marshal(list)
			if err != nil {
				return err
			}
			line, from = append(text, '\n'), list.Revision
		}
		if garbled != "" {
			line = []byte(garbled)
		}
		if _, err := fmt.Fprintf(nc, "%s%x\r\n%s\r\n", header, len(line), line); err != nil {
			return err
		}
		header = ""
		select {
		case <-next:
		case <-d.closed:
			return net.ErrClosed
		case <-finish:
			_, err := fmt.Fprint(nc, "0\r\n\r\n")
			return err
		case <-time.After(keepaliveInterval):
		}
	}
}
