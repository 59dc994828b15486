package soak

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits of the reports of breaches.
const (
	reportBefore = 8 * time.Second // span of events and log lines before the breach
	reportAfter  = 2 * time.Second
	maxReports   = 40 // per run; further breaches are only counted
	breachesFile = "breaches.txt"
)

// reportLine is a line in the report of a breach.
type reportLine struct {
	at   time.Duration
	text string
}

// writeBreaches writes the report of each breach, if there is any, to breaches.txt in the run's directory.
func writeBreaches(dir string, outcome *Outcome) error {
	var text strings.Builder
	for i, breach := range outcome.Breaches {
		if i == maxReports {
			fmt.Fprintf(&text, "and %d more\n", len(outcome.Breaches)-maxReports)
			break
		}
		text.WriteString(breachReport(dir, outcome.Record, breach))
		text.WriteByte('\n')
	}
	if text.Len() == 0 {
		return nil
	}
	return os.WriteFile(filepath.Join(dir, breachesFile), []byte(text.String()), 0o600)
}

// breachReport returns the report of a breach: its request with its runs, the events around it, and the log of the process
// concerned.
func breachReport(dir string, record *Record, breach Breach) string {
	from, to := breach.At-reportBefore, breach.At+reportAfter
	var lines []reportLine
	for _, request := range record.Requests {
		if request.ID == breach.Request && breach.Request != "" {
			lines = append(lines, requestLines(request)...)
			from = min(from, request.StartedAt-reportAfter)
		}
	}
	for _, run := range record.Runs {
		if run.ID == breach.Request && breach.Request != "" {
			lines = append(lines, runLines(run)...)
		}
	}
	for _, change := range record.Processes {
		if change.At >= from && change.At <= to {
			text := strings.TrimSpace(fmt.Sprintf("%s %s %s", change.Node, change.What, change.Text))
			lines = append(lines, reportLine{change.At, text})
		}
	}
	for _, call := range record.Calls {
		if call.AckedAt >= from && call.AckedAt <= to {
			lines = append(lines, reportLine{call.AckedAt, fmt.Sprintf("r%d is acknowledged, sent at %.3f s", call.Version,
				call.SentAt.Seconds())})
		}
	}
	lines = append(lines, logLines(filepath.Join(dir, breach.Node+".log"), from, to)...)
	slices.SortStableFunc(lines, func(a, b reportLine) int { return cmp.Compare(a.at, b.at) })
	var text strings.Builder
	fmt.Fprintf(&text, "%s at %.3f s (%.3f s of traffic): %s\n", breach.Rule, breach.At.Seconds(),
		(breach.At - record.TrafficAt).Seconds(), breach.What)
	for _, line := range lines {
		fmt.Fprintf(&text, "  %9.3f s  %s\n", line.at.Seconds(), line.text)
	}
	return text.String()
}

func requestLines(request Request) []reportLine {
	lines := []reportLine{{request.StartedAt,
		fmt.Sprintf("request %s (%s) is begun at %s, kept connection %t, deadline at %.3f s", request.ID,
			request.Kind, request.Edge, request.Kept, request.DeadlineAt.Seconds())}}
	if request.SentAt > 0 {
		lines = append(lines, reportLine{request.SentAt, "its last byte is written"})
	}
	if request.LeftAt > 0 {
		return append(lines, reportLine{request.LeftAt, "the client leaves"})
	}
	return append(lines, reportLine{request.EndedAt, fmt.Sprintf("it ends: status %d, complete %t %s", request.Status,
		request.Complete, request.Failure)})
}

func runLines(run ServerRun) []reportLine {
	return []reportLine{
		{run.ArrivedAt, fmt.Sprintf("it reaches server %s, with %.0f ms", run.Server, run.DeadlineMS)},
		{run.EndedAt, fmt.Sprintf("its run at %s ends: %s, status %d", run.Server, run.Outcome, run.Status)},
	}
}

// logLines returns the lines of a process's log between from and to. It returns none if the file can't be read.
func logLines(path string, from, to time.Duration) (lines []reportLine) {
	file, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }() // the file was only read
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		stamp, text, ok := strings.Cut(strings.TrimSpace(scanner.Text()), " ")
		at, err := strconv.ParseFloat(stamp, 64)
		if ok && err == nil && seconds(at) >= from && seconds(at) <= to {
			lines = append(lines, reportLine{seconds(at), "log: " + text})
		}
	}
	return lines
}
