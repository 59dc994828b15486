package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"mulleinwood/internal/nodeprocess"
)

// ErrUnable is wrapped by errors that say that the soak itself could not run: nothing is said about the gateway.
var ErrUnable = errors.New("the soak could not run")

const (
	// maxOwnDelay is the lateness of the soak itself over which a run says nothing about the gateway.
	maxOwnDelay = 2 * time.Second
	// readBackFor is how long the configuration is read at the end, so that all that was struck last is back.
	readBackFor = contactBound + 2*time.Second
	firstPutFor = 30 * time.Second
)

// Options say what is run and where.
type Options struct {
	Schedule Schedule
	BinDir   string // folder of the programs
	Dir      string // folder for settings, disks, logs and what is kept of the run; it is made
}

// Outcome is what a run showed.
type Outcome struct {
	Record   *Record
	Breaches []Breach
}

// Run plays a schedule and audits what was seen. Its error wraps ErrUnable where the soak itself could not run.
func Run(ctx context.Context, options Options) (*Outcome, error) {
	if err := makeEmptyDir(options.Dir); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnable, err)
	}
	text, err := options.Schedule.Encode()
	if err == nil {
		err = os.WriteFile(filepath.Join(options.Dir, "schedule.toml"), text, 0o600)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnable, err)
	}
	r := newRun(options)
	err = r.play(ctx)
	record := r.recorder.finish()
	record.Schedule = options.Schedule
	switch {
	case ctx.Err() != nil:
		return nil, fmt.Errorf("%w: interrupted", ErrUnable)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnable, err)
	case record.maxDelay() > maxOwnDelay:
		return nil, fmt.Errorf("%w: it ran up to %s late itself (%s at most): the machine is too busy", ErrUnable,
			record.maxDelay().Round(time.Millisecond), maxOwnDelay)
	}
	outcome := &Outcome{Record: record, Breaches: Audit(record)}
	return outcome, writeStories(options.Dir, outcome)
}

// makeEmptyDir makes the folder of a run. One that holds anything is refused: disks of an earlier run would be used again.
func makeEmptyDir(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	entries, err := os.ReadDir(dir)
	if err == nil && len(entries) > 0 {
		return fmt.Errorf("%s is not empty: it may hold an earlier run", dir)
	}
	return err
}

// run is a run that goes on.
type run struct {
	schedule    Schedule
	recorder    *recorder
	cluster     *cluster
	fakeServers *fakeServers
	clientPool  *clientPool
	operator    *configOperator
	striking    sync.WaitGroup
	throttling  sync.WaitGroup
}

func newRun(options Options) *run {
	schedule := options.Schedule
	r := &run{schedule: schedule, recorder: newRecorder()}
	r.cluster = newCluster(r.recorder, schedule.Size, schedule.Seed, options.BinDir, options.Dir)
	r.fakeServers = newFakeServers(r.recorder, schedule.Seed, r.cluster.serverIP(), r.cluster.seeds)
	r.clientPool = newClientPool(r.recorder, schedule.Seed, r.cluster.withRole(nodeprocess.Edge))
	r.operator = newOperator(r.recorder, r.cluster.withRole(nodeprocess.Controller))
	return r
}

// play goes through the run. All that it started has ended when it returns.
func (r *run) play(ctx context.Context) error {
	if r.schedule.InnerTLS {
		if err := r.cluster.issueCertificates(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	go measureDelay(ctx, r.recorder)
	defer r.cluster.stop()
	defer cancel() // what goes on beside the run ends before the processes do
	if err := r.cluster.start(ctx); err != nil {
		return err
	}
	defer r.fakeServers.stop()
	if err := r.fakeServers.startAll(r.schedule.Size.Servers); err != nil {
		return err
	}
	if err := r.firstConfig(ctx); err != nil {
		return err
	}
	if err := r.cluster.waitReady(ctx); err != nil {
		return err
	}
	r.traffic(ctx)
	return ctx.Err()
}

func (r *run) firstConfig(ctx context.Context) error {
	deadline := time.Now().Add(firstPutFor)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if r.operator.change(ctx) {
			return nil
		}
	}
	return fmt.Errorf("no configuration is acknowledged within %s", firstPutFor)
}

// traffic has clients and events go on for the run's time, and reads the configuration back after it.
func (r *run) traffic(ctx context.Context) {
	startedAt := time.Now()
	r.recorder.add(func(all *Record) { all.TrafficAt = startedAt.Sub(r.recorder.startedAt) })
	clients, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var reading sync.WaitGroup
	reads, stopReads := context.WithCancel(ctx)
	defer stopReads()
	reading.Go(func() { r.operator.readAll(reads) })
	stopQuotas := r.startQuotas(ctx)
	defer stopQuotas()
	r.clientPool.start(clients, r.schedule.Size.Clients)
	for i, event := range r.schedule.Events {
		sleep(ctx, time.Until(startedAt.Add(seconds(event.AtS))))
		if ctx.Err() != nil {
			break
		}
		r.strike(ctx, event, uint64(i))
	}
	sleep(ctx, time.Until(startedAt.Add(seconds(r.schedule.Size.DurationSeconds))))
	stopClients()
	r.clientPool.working.Wait()
	r.striking.Wait()
	stopQuotas()
	r.recorder.add(func(all *Record) { all.QuietAt = r.recorder.now() })
	sleep(ctx, readBackFor)
	stopReads()
	reading.Wait()
}

// strike brings an event about. What takes time goes on beside the run.
func (r *run) strike(ctx context.Context, e Event, number uint64) {
	node := r.cluster.node(e.On)
	switch e.Kind {
	case Terminate:
		r.striking.Go(node.terminate)
		if node.spec.Role == nodeprocess.Edge {
			r.clientPool.arrive(node, number)
		}
	case Kill:
		node.kill()
	case Wipe:
		node.killAndWipe()
	case Reload:
		node.reload()
	case Suspend:
		r.striking.Go(func() { node.suspend(ctx, seconds(e.ForS)) })
	case ConfigStorm:
		r.striking.Go(func() { r.operator.storm(ctx, e.Count) })
	case LeavingWave:
		r.clientPool.wave(e.Count, number)
	case ServerDrain, ServerLeave, ServerCrash:
		r.fakeServers.strike(ctx, e)
	}
}
