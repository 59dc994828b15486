package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot/plotter"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/record"
	"mulleinwood/tables"
)

// VersionsResult contains the cost of versioned tables, and the time until a receiver is up to date again after updates
// were lost.
type VersionsResult struct {
	Fleet
	Seconds       int     `json:"simulated_seconds"`
	Changes       int     `json:"changes"` // messages except snapshots
	LineBytes     float64 `json:"line_bytes_per_change"`
	DeltaBytes    float64 `json:"delta_bytes_per_change"`
	SnapshotBytes float64 `json:"whole_bytes_per_change"`
	VersionCPU    float64 `json:"version_us_per_change"` // creating and encoding updates
	StepCPU       float64 `json:"step_us_per_change"`    // the planner's and the scenario's other work per round
	RecordCPU     float64 `json:"record_us_per_change"`
	RecordBytes   float64 `json:"record_bytes_per_change"`
	Losses        []Loss  `json:"losses"`
	Deliveries    int     `json:"checked_deliveries"`
	Mismatches    int     `json:"tables_not_sent"` // deliveries after which a receiver held a wrong table
}

// Loss is the result for one rate of lost updates. Times are simulated, with a round trip of 20 ms.
type Loss struct {
	Share          float64   `json:"share"`
	Recovery       Quantiles `json:"in_step_again_ms"` // from the loss, which the receiver notices at the next update or notice
	Repair         Quantiles `json:"repaired_ms"`      // from the time when the receiver noticed the loss
	ResendRequests int       `json:"questions"`
	Snapshots      int       `json:"answered_whole"`
}

const (
	versionSeconds = 60
	roundTripMS    = 20.0
)

// lossyReceiver is a proxy's receiver behind a lossy channel. Times are in milliseconds of the simulated clock.
type lossyReceiver struct {
	receiver  *tables.Receiver
	lostAt    float64 // first loss not yet repaired; 0: none
	sentAt    float64 // last update that no notice has followed; 0: none
	noticedAt float64 // when the receiver noticed a loss; 0: it knows of none
}

// MeasureVersions runs the scripted day of CompareDecisions on one core, once for each loss rate.
func MeasureVersions(f Fleet, progress func(string, ...any)) (VersionsResult, error) {
	v := VersionsResult{Fleet: f, Seconds: versionSeconds}
	for _, share := range []float64{0.01, 0.1, 0.5} {
		progress("dropping %.0f%% of the updates", share*100)
		if err := f.measureVersions(&v, share); err != nil {
			return v, err
		}
	}
	return v, nil
}

// measureVersions runs the day once and appends its Loss to v. The costs in v are those of the last run.
func (f Fleet) measureVersions(v *VersionsResult, lossRate float64) error {
	origin := tables.Origin{Instance: "bench", Incarnation: 1}
	senders, receivers := map[int]*tables.Sender{}, map[int]*lossyReceiver{}
	rng := rand.New(rand.NewPCG(f.Seed, 31))
	recovery, repair := hdrhistogram.New(1, maxLatencyMicros, 3), hdrhistogram.New(1, maxLatencyMicros, 3)
	loss := Loss{Share: lossRate}
	var versionTime time.Duration
	v.Changes, v.LineBytes, v.DeltaBytes, v.SnapshotBytes = 0, 0, 0, 0
	var entries []record.Entry
	run := &scenarioRun{fleet: f, result: Decisions{Cores: 1}, streams: map[int]*proxyStream{}}
	recordRecovery := func(proxy int) {
		l := receivers[proxy]
		_, at := l.receiver.Table()
		switch {
		case l.receiver.UpToDate():
			if l.noticedAt > 0 { // up to date as far as it knows: a later loss may be unnoticed yet
				repair.RecordValue(int64((run.group.now - l.noticedAt) * 1000))
				l.noticedAt = 0
			}
			if l.lostAt > 0 && at == newestVersion(senders[proxy]) {
				recovery.RecordValue(int64((run.group.now - l.lostAt) * 1000))
				l.lostAt = 0
			}
		case l.noticedAt == 0 && at.Number > 0:
			l.noticedAt = run.group.now
		}
	}
	check := func(proxy int) { // a table that is held under the newest version must equal the one that was sent
		v.Deliveries++
		held, at := receivers[proxy].receiver.Table()
		if sent, newest := senders[proxy].Table(); at == newest && !held.Equal(sent) {
			v.Mismatches++
		}
	}
	onAssignment := func(proxy int, o protocol.Assignment) {
		run.applyAssignment(proxy, o)
		startedAt := time.Now()
		if senders[proxy] == nil {
			senders[proxy], receivers[proxy] = tables.NewSender(origin, uint32(proxy),
				nil), &lossyReceiver{receiver: tables.NewReceiver(uint32(proxy), nil)}
			receivers[proxy].receiver.StreamStarted(run.group.now, origin)
		}
		s, l := senders[proxy], receivers[proxy]
		table, _ := s.Table()
		u, err := s.Next(o.ApplyTo(table), o.Replace)
		if err != nil {
			return
		}
		text := u.Append(nil, nil)
		versionTime += time.Since(startedAt)
		if !u.Snapshot {
			line, _ := o.Append(nil)
			sent, at := s.Table()
			v.Changes++
			v.LineBytes += float64(len(line))
			v.DeltaBytes += float64(len(text))
			v.SnapshotBytes += float64(len(tables.Snapshot(sent, at, nil).Append(nil, nil)))
			if len(entries) < 100000 {
				entries = append(entries, record.Entry{At: time.UnixMilli(int64(run.group.now)), Cause: "weights", Update: text})
			}
		}
		l.sentAt = run.group.now
		if rng.Float64() < lossRate {
			if l.lostAt == 0 {
				l.lostAt = run.group.now
			}
			return
		}
		l.receiver.ApplyEncoded(run.group.now, text)
		check(proxy)
		recordRecovery(proxy)
	}
	var err error
	if run.group, err = newGroup(f, 1, onAssignment); err != nil {
		return err
	}
	if err := run.start(); err != nil {
		return err
	}
	var stepTime time.Duration
	scenarioRNG := rand.New(rand.NewPCG(f.Seed, 12))
	for round := range versionSeconds * 10 {
		startedAt, before := time.Now(), versionTime
		if err := run.advance(round, scenarioRNG); err != nil {
			return err
		}
		stepTime += time.Since(startedAt) - (versionTime - before)
		now := run.group.now
		for proxy, l := range receivers { // notices, resend requests and their responses between two rounds
			if l.sentAt > 0 && now-l.sentAt >= tables.NoticeDelayMS {
				if l.sentAt = 0; rng.Float64() >= lossRate {
					l.receiver.HandleNotice(now, newestVersion(senders[proxy]), senders[proxy].Digest())
					recordRecovery(proxy)
				}
			}
			for at := now; at < now+roundIntervalMS; at += roundTripMS {
				a, due := l.receiver.NextResendRequest(at)
				if !due {
					continue
				}
				run.group.now = at + roundTripMS
				loss.ResendRequests++
				for _, u := range senders[proxy].Resend(a) {
					if u.Snapshot {
						loss.Snapshots++
					}
					if rng.Float64() >= lossRate {
						l.receiver.ApplyEncoded(run.group.now, u.Append(nil, nil))
						check(proxy)
					}
				}
				recordRecovery(proxy)
			}
		}
		run.group.now = now
	}
	n := max(1, float64(v.Changes))
	v.LineBytes, v.DeltaBytes, v.SnapshotBytes = v.LineBytes/n, v.DeltaBytes/n, v.SnapshotBytes/n
	v.VersionCPU, v.StepCPU = float64(versionTime.Microseconds())/n, float64(stepTime.Microseconds())/n
	loss.Recovery, loss.Repair = quantiles(recovery), quantiles(repair)
	v.Losses = append(v.Losses, loss)
	return v.measureRecord(entries)
}

func newestVersion(s *tables.Sender) tables.Version {
	_, at := s.Table()
	return at
}

// measureRecord writes the entries into a record in batches, as the planner does in the background, and stores the cost.
func (v *VersionsResult) measureRecord(entries []record.Entry) error {
	directory, err := os.MkdirTemp("", "mulleinwood-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	file := filepath.Join(directory, "record.db")
	r, err := record.Open(file, nil, false)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	for i := 0; i < len(entries); i += 512 {
		if err := r.Append(time.Now(), record.Retention{}, entries[i:min(i+512, len(entries))]...); err != nil {
			return err
		}
	}
	elapsed := time.Since(startedAt)
	if err := r.Close(); err != nil {
		return err
	}
	info, err := os.Stat(file)
	if err != nil {
		return err
	}
	n := max(1, float64(len(entries)))
	v.RecordCPU, v.RecordBytes = float64(elapsed.Microseconds())/n, float64(info.Size())/n
	return nil
}

// WriteTable prints the figures as text.
func (v VersionsResult) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%d proxies, %d servers, seed %d; %d s, simulated servers and clock\n\n", v.Proxies, v.Servers, v.Seed,
		v.Seconds)
	fmt.Fprintf(out, "%d changes: a line %.0f bytes, a delta %.0f, a whole table %.0f (delta %.0f%% of whole)\n", v.Changes,
		v.LineBytes, v.DeltaBytes,
		v.SnapshotBytes, 100*v.DeltaBytes/v.SnapshotBytes)
	fmt.Fprintf(out,
		"versions %.1f µs a change, the rest of the planner's and the day's work %.1f µs; record %.1f µs and %.0f bytes a change\n", v.VersionCPU,
		v.StepCPU, v.RecordCPU, v.RecordBytes)
	fmt.Fprintf(out, "%d deliveries checked, %d tables held that were not sent\n\n", v.Deliveries, v.Mismatches)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "lost\tin step again ms p50\tp99\tmax\tsince noticed p50\tp99\tmax\tlosses\tquestions\tanswered whole")
	for _, l := range v.Losses {
		fmt.Fprintf(table, "%.0f%%\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%d\n", 100*l.Share, l.Recovery.P50,
			l.Recovery.P99, l.Recovery.Max, l.Repair.P50, l.Repair.P99, l.Repair.Max, l.Recovery.Count, l.ResendRequests, l.Snapshots)
	}
	return table.Flush()
}

// WritePlot draws the recovery time of receivers against the loss rate.
func (v VersionsResult) WritePlot(file string) error {
	var p50, p99 plotter.XYs
	for _, l := range v.Losses {
		p50 = append(p50, plotter.XY{X: 100 * l.Share, Y: l.Recovery.P50})
		p99 = append(p99, plotter.XY{X: 100 * l.Share, Y: l.Recovery.P99})
	}
	p, err := chart(fmt.Sprintf("In step again after a loss (%d proxies)", v.Proxies), "ms", series{"p50", blue, p50, false},
		series{"p99", red, p99, false})
	if err != nil {
		return err
	}
	p.X.Label.Text = "updates lost, %"
	return sideBySide(file, p)
}
