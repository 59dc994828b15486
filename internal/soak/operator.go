package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulleinwood/internal/nodeprocess"
)

// Parameters of the operator.
const (
	callTimeout    = 2 * time.Second
	retryDelay     = 100 * time.Millisecond
	changeTimeout  = 12 * time.Second // for one change; after it the outcome is unknown
	readInterval   = 150 * time.Millisecond
	patchEveryNth  = 3  // one in so many changes is sent as a PATCH
	maxExtraRoutes = 40 // upper bound; versions differ in length because their numbers of extra routes differ
)

// configOperator changes the configuration and reads it back.
type configOperator struct {
	recorder    *recorder
	controllers []*supervisor
	client      *http.Client

	mu      sync.Mutex // held while changes are made
	version int        // newest acknowledged version
	next    int        // version of the next change
}

func newOperator(r *recorder, controllers []*supervisor) *configOperator {
	return &configOperator{recorder: r, controllers: controllers, client: &http.Client{Timeout: callTimeout}, next: 1}
}

// configuration returns the whole configuration of a version and the number of its routes.
func configuration(version int) (text string, routes int) {
	kinds := map[RequestKind]string{Lookup: "safe", Review: "safe", Note: "unsafe", Post: "keyed", Stream: "safe",
		Upload: "unsafe"}
	var all []string
	for _, kind := range []RequestKind{Lookup, Review, Note, Post, Stream, Upload} {
		service := lookupService
		if kind == Note || kind == Post {
			service = ledgerService
		}
		all = append(all, fmt.Sprintf(`{"name":%q,"path_prefix":"/%s/","kind":%q,"deadline_s":%g,"setpoint_s":0.5,"priority":1,`+
			`"service":%q,"tries":2}`, kind, kind, kinds[kind], deadlines[kind].Seconds(), service))
	}
	for i := range version % maxExtraRoutes {
		all = append(all, extraRoute(i))
	}
	idle := 10 + version%5 // seconds; each change gives clients' connections a new HTTP server
	return fmt.Sprintf(`{"version":"r%d","services":[{"name":%q,"health_path":"/health","conn_limit":400},`+
		`{"name":%q,"health_path":"/health","conn_limit":400}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,`+
		`"header_wait_s":3,"idle_s":%d},"plants":[{"plant":%q,"channels":[%s]}]}`, version, lookupService, ledgerService, idle,
		tenant, strings.Join(all, ",")), len(all)
}

// extraRoute returns one of the additional routes by which configurations differ.
func extraRoute(number int) string {
	return fmt.Sprintf(`{"name":"extra-%d","path_prefix":"/extra-%d/","kind":"safe","deadline_s":1,"setpoint_s":0.5,`+
		`"priority":2,"service":%q,"tries":1}`, number, number, lookupService)
}

// configPatch returns the patch that turns the routes of one version into those of another.
func configPatch(from, to int) string {
	var upsert, remove []string
	for i := from % maxExtraRoutes; i < to%maxExtraRoutes; i++ {
		upsert = append(upsert, extraRoute(i))
	}
	for i := to % maxExtraRoutes; i < from%maxExtraRoutes; i++ {
		remove = append(remove, fmt.Sprintf(`"extra-%d"`, i))
	}
	return fmt.Sprintf(`{"version":"r%d","upsert":{"plants":[{"plant":%q,"channels":[%s]}]},"remove":{"routes":[%s]}}`, to,
		tenant, strings.Join(upsert, ","), strings.Join(remove, ","))
}

// configRequest is a configuration change as it is sent.
type configRequest struct {
	method string
	body   string
}

// change sends the next configuration, as a whole or as a patch, and retries the same request until it is acknowledged. It
// reports whether that happened within changeTimeout. The caller must hold mu unless no other change can be in progress.
func (o *configOperator) change(ctx context.Context) bool {
	body, routes := configuration(o.next)
	sent := configRequest{http.MethodPut, body}
	if o.version > 0 && o.next%patchEveryNth == 0 {
		sent = configRequest{http.MethodPatch, configPatch(o.version, o.next)}
	}
	call := ConfigCall{Version: o.next, Routes: routes, SentAt: o.recorder.now()}
	o.next++
	defer func() { o.recorder.add(func(all *Record) { all.Calls = append(all.Calls, call) }) }()
	deadline := time.Now().Add(changeTimeout)
	for number := 0; ctx.Err() == nil && time.Now().Before(deadline); number++ {
		node := o.controllers[(call.Version+number)%len(o.controllers)]
		if o.send(ctx, node, sent) {
			call.AckedAt = o.recorder.now()
			o.version = call.Version
			return true
		}
		sleep(ctx, retryDelay)
	}
	return false
}

// send sends a request to one controller and reports whether it was acknowledged.
func (o *configOperator) send(ctx context.Context, node *supervisor, sent configRequest) bool {
	url := "http://" + nodeprocess.Address(node.spec.IP, nodeprocess.ControlPort) + "/config"
	request, err := http.NewRequestWithContext(ctx, sent.method, url, strings.NewReader(sent.body))
	if err != nil {
		return false
	}
	request.Header.Set("If-Match", strconv.Itoa(o.version))
	if o.version > 0 {
		request.Header.Set("If-Match", fmt.Sprintf("r%d", o.version))
	}
	response, err := o.client.Do(request)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close() // it was read
	return err == nil && response.StatusCode == http.StatusOK
}

// changeRepeatedly makes changes in sequence. It stops after one with an unknown outcome, on which the next can't be based.
func (o *configOperator) changeRepeatedly(ctx context.Context, count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for range count {
		if !o.change(ctx) {
			o.adoptCurrentVersion(ctx)
			return
		}
	}
}

// adoptCurrentVersion sets version to the version in force, after a change with an unknown outcome.
func (o *configOperator) adoptCurrentVersion(ctx context.Context) {
	deadline := time.Now().Add(changeTimeout)
	for number := 0; ctx.Err() == nil && time.Now().Before(deadline); number++ {
		if read, ok := o.read(ctx, o.controllers[number%len(o.controllers)]); ok {
			o.version = read.Version
			return
		}
		sleep(ctx, retryDelay)
	}
}

// read reads the configuration from one controller and records it. ok reports whether the response was valid with status 200.
func (o *configOperator) read(ctx context.Context, node *supervisor) (read ConfigRead, ok bool) {
	read = ConfigRead{Node: node.spec.Name, SentAt: o.recorder.now()}
	url := "http://" + nodeprocess.Address(node.spec.IP, nodeprocess.ControlPort) + "/config"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return read, false
	}
	response, err := o.client.Do(request)
	if err != nil {
		return read, false
	}
	var body struct {
		Version string `json:"version"`
		Plants  []struct {
			Channels []json.RawMessage `json:"channels"`
		} `json:"plants"`
	}
	err = json.NewDecoder(response.Body).Decode(&body)
	_ = response.Body.Close() // it was read
	if err != nil || response.StatusCode != http.StatusOK {
		return read, false
	}
	read.EndedAt = o.recorder.now()
	read.Version, _ = strconv.Atoi(strings.TrimPrefix(body.Version, "r")) // a missing version is 0
	for _, plant := range body.Plants {
		read.Routes += len(plant.Channels)
	}
	o.recorder.add(func(all *Record) { all.Reads = append(all.Reads, read) })
	return read, true
}

// readAll reads the configuration from the controllers in turn until ctx ends.
func (o *configOperator) readAll(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		_, _ = o.read(ctx, o.controllers[number%len(o.controllers)]) // read records the result
		sleep(ctx, readInterval)
	}
}
