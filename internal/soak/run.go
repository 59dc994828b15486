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

// ErrUnable is wrapped by errors that mean that the soak itself could not run. They imply nothing about the gateway.
var ErrUnable = errors.New("the soak could not run")

const (
	// maxHarnessDelay is the greatest scheduling delay of the soak itself for which the results of a run are valid.
	maxHarnessDelay = 2 * time.Second
	// readBackTime is how long the configuration is read after the end of traffic, so that the last faults are over by then.
	readBackTime    = contactBound + 2*time.Second
	firstPutTimeout = 30 * time.Second
)

// Options are the parameters of a run.
type Options struct {
	Schedule Schedule
	BinDir   string // directory of the programs
	Dir      string // directory for settings, disks, logs and results; it is created
}

// Outcome is the result of a run.
type Outcome struct {
	Record   *Record
	Breaches []Breach
}

// Run runs a schedule and audits the record. The error wraps ErrUnable if the soak itself could not run.
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
	case record.maxDelay() > maxHarnessDelay:
		return nil, fmt.Errorf("%w: its own timers fired up to %s late (limit %s): the machine is too busy", ErrUnable,
			record.maxDelay().Round(time.Millisecond), maxHarnessDelay)
	}
	outcome := &Outcome{Record: record, Breaches: Audit(record)}
	return outcome, writeBreaches(options.Dir, outcome)
}

// makeEmptyDir creates the directory of a run. It rejects a non-empty directory, whose disks of an earlier run would be reused.
func makeEmptyDir(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	entries, err := os.ReadDir(dir)
	if err == nil && len(entries) > 0 {
		return fmt.Errorf("%s is not empty: it may contain an earlier run", dir)
	}
	return err
}

// run is a run in progress.
type run struct {
	schedule      Schedule
	recorder      *recorder
	cluster       *cluster
	fakeServers   *fakeServers
	clientPool    *clientPool
	operator      *configOperator
	pendingFaults sync.WaitGroup
	pendingQuotas sync.WaitGroup
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

// play executes the run. Everything that it started has ended when it returns.
func (r *run) play(ctx context.Context) error {
	if r.schedule.InnerTLS {
		if err := r.cluster.issueCertificates(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	go measureDelay(ctx, r.recorder)
	defer r.cluster.stop()
	defer cancel() // ends background work before the processes
	if err := r.cluster.start(ctx); err != nil {
		return err
	}
	defer r.fakeServers.stop()
	if err := r.fakeServers.startAll(r.schedule.Size.Servers); err != nil {
		return err
	}
	if err := r.putFirstConfig(ctx); err != nil {
		return err
	}
	if err := r.cluster.waitReady(ctx); err != nil {
		return err
	}
	r.runTraffic(ctx)
	return ctx.Err()
}

func (r *run) putFirstConfig(ctx context.Context) error {
	deadline := time.Now().Add(firstPutTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if r.operator.change(ctx) {
			return nil
		}
	}
	return fmt.Errorf("no configuration was acknowledged within %s", firstPutTimeout)
}

// runTraffic runs clients and events for the duration of the run, and then reads the configuration back.
func (r *run) runTraffic(ctx context.Context) {
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
		r.inject(ctx, event, uint64(i))
	}
	sleep(ctx, time.Until(startedAt.Add(seconds(r.schedule.Size.DurationSeconds))))
	stopClients()
	r.clientPool.active.Wait()
	r.pendingFaults.Wait()
	stopQuotas()
	r.recorder.add(func(all *Record) { all.QuietAt = r.recorder.now() })
	sleep(ctx, readBackTime)
	stopReads()
	reading.Wait()
}

// inject triggers an event. Work that takes time continues in the background.
func (r *run) inject(ctx context.Context, e Event, number uint64) {
	node := r.cluster.node(e.On)
	switch e.Kind {
	case Terminate:
		r.pendingFaults.Go(node.terminate)
		if node.spec.Role == nodeprocess.Edge {
			r.clientPool.connectDuringDrain(node, number)
		}
	case Kill:
		node.kill()
	case Wipe:
		node.killAndWipe()
	case Reload:
		node.reload()
	case Suspend:
		r.pendingFaults.Go(func() { node.suspend(ctx, seconds(e.ForS)) })
	case ConfigStorm:
		r.pendingFaults.Go(func() { r.operator.changeRepeatedly(ctx, e.Count) })
	case LeavingWave:
		r.clientPool.startLeavingWave(e.Count, number)
	case ServerDrain, ServerLeave, ServerCrash:
		r.fakeServers.inject(ctx, e)
	}
}
