package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// MaxListBytes limits one list, and one line of a watch.
const MaxListBytes = 8 << 20

// Member is an entry of discovery's list.
type Member struct {
	ID        string  `json:"id"`
	Address   string  `json:"host_port"`
	Zone      string  `json:"locality"`
	Kind      string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Weight    float64 `json:"size"`        // 1 if the list has none
	StartedAt float64 `json:"up_since_ms"` // Unix time in milliseconds; 0: long ago
}

// The phases of a Member.
const (
	PhaseUp       = "up"
	PhaseDraining = "draining"
	PhaseRemoved  = "removed"
)

// List is the complete list of servers, or the changes since a revision.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// StatusError is the HTTP status of a response other than 200.
type StatusError int

// Error implements error.
func (s StatusError) Error() string { return fmt.Sprintf("status %d", int(s)) }

// UnmarshalJSON decodes a member. A missing size is 1, so that servers without sizes have equal weights.
func (m *Member) UnmarshalJSON(text []byte) error {
	type plain Member
	read := plain{Weight: 1}
	if err := json.Unmarshal(text, &read); err != nil {
		return err
	}
	*m = Member(read)
	return nil
}

var errListTooLong = errors.New("list exceeds 8 MiB")

// DecodeList decodes a list and counts its invalid entries. An entry without an id is dropped. In other entries an invalid
// value is replaced by the least harmful one: a size by 1, a cell or a start time by 0, and an unknown phase by draining,
// since the server hasn't declared that it accepts work. Dropping these entries would mark their servers as removed.
func DecodeList(text []byte) (list List, invalid int, err error) {
	if err := json.Unmarshal(text, &list); err != nil {
		return List{}, 0, fmt.Errorf("list: %w", err)
	}
	kept := list.Members[:0]
	for _, m := range list.Members {
		if m.ID == "" {
			invalid++
			continue
		}
		if m.sanitize() {
			invalid++
		}
		kept = append(kept, m)
	}
	list.Members = kept
	return list, invalid, nil
}

// sanitize replaces invalid values and reports whether there were any.
func (m *Member) sanitize() bool {
	before := *m
	if m.Weight < 0 || m.Weight > MaxValue {
		m.Weight = 1
	}
	if m.StartedAt < 0 {
		m.StartedAt = 0
	}
	m.Cell = max(0, m.Cell)
	if m.Phase != PhaseUp && m.Phase != PhaseRemoved {
		m.Phase = PhaseDraining
	}
	return *m != before
}

func onlyOK(r *http.Response) error {
	if r.StatusCode != http.StatusOK {
		return StatusError(r.StatusCode)
	}
	return nil
}

// FetchRequest returns the request for the complete list and the exchange that decodes its response. handle is called with
// the body.
func FetchRequest(host string, handle func(text []byte) error) ([]byte, *HTTPExchange) {
	var text []byte
	x := &HTTPExchange{HandleHead: onlyOK, MaxBodyBytes: MaxListBytes}
	x.HandleBody = func(p []byte) error {
		text = append(text, p...)
		return nil
	}
	x.onComplete = func() error { return handle(text) }
	return Request(host, "/v1/endpoints"), x
}

// WatchRequest returns the request for the changes after a revision and the exchange that decodes its response, which lasts
// as long as the connection. started is called once the request is accepted, handle with the text of each JSON object.
func WatchRequest(host string, from int64, started func(), handle func(text []byte) error) ([]byte, *HTTPExchange) {
	var text []byte // of an incomplete line
	x := &HTTPExchange{}
	x.HandleHead = func(r *http.Response) error {
		if err := onlyOK(r); err != nil {
			return err
		}
		started()
		return nil
	}
	x.HandleBody = func(p []byte) error {
		for {
			end := bytes.IndexByte(p, '\n')
			if end < 0 {
				if text = append(text, p...); len(text) > MaxListBytes {
					return errListTooLong
				}
				return nil
			}
			object := bytes.TrimSpace(append(text, p[:end]...))
			text, p = text[:0], p[end+1:]
			if len(object) == 0 {
				continue // a keepalive: nothing has changed
			}
			if err := handle(object); err != nil {
				return err
			}
		}
	}
	return Request(host, "/v1/endpoints?watch=1&from="+strconv.FormatInt(from, 10)), x
}
