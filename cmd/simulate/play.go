package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/days"
)

func playCommand() *cli.Command {
	return &cli.Command{
		Name:  "play",
		Usage: "play all days of a folder with the users' bench, one process each; code 1 if any does not pass",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bench", Required: true, Usage: "the bench's program"},
			&cli.StringFlag{Name: "site", Required: true, Usage: "the deployment's site file"},
			&cli.StringFlag{Name: "days", Value: "days", Usage: "folder of days, or one day's file"},
			&cli.StringFlag{Name: "kinds", Value: kindsFile,
				Usage: "the catalogue of kinds, which tells the days that are not for the site"},
			&cli.StringFlag{Name: "out",
				Usage: "folder for results, reports and what the bench prints (default: found/ and the site's name)"},
			&cli.IntFlag{Name: "jobs", Value: 2, Usage: "days played at once"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "plays of each day, with its own seed and those that follow"},
			&cli.StringFlag{Name: "match", Usage: "plays only the days whose name holds this"},
			&cli.StringFlag{Name: "why", Value: "days of our own", Usage: "a line for the bench's journal"},
			&cli.FloatFlag{Name: "low", Value: 0.9, Usage: "the summary counts days with a score under this"},
			&cli.BoolFlag{Name: "small", Usage: "play small twins of a large site's days"},
			&cli.BoolFlag{Name: "resume", Usage: "leave out what the results hold already"},
		},
		Action: playDays,
	}
}

// scheduledPlay is one play of one day.
type scheduledPlay struct {
	path    string
	verdict days.Verdict
}

// player plays days of one site and keeps their verdicts.
type player struct {
	bench, site, why, outDir string
	small                    bool

	mu       sync.Mutex
	results  io.Writer
	writeErr error // the first one met in writing results
}

func playDays(ctx context.Context, cmd *cli.Command) error {
	site, err := parseFile(cmd.String("site"), days.ParseSite)
	if err != nil {
		return err
	}
	plays, err := listPlays(cmd, site)
	if err != nil {
		return err
	}
	out := cmd.String("out")
	if out == "" {
		out = filepath.Join("found", site.Name)
	}
	resultsFile, err := prepareResults(out)
	if err != nil {
		return err
	}
	if !cmd.Bool("resume") {
		if err := removeIfPresent(resultsFile); err != nil {
			return err
		}
	}
	p := &player{bench: cmd.String("bench"), site: cmd.String("site"), why: cmd.String("why"), outDir: out,
		small: cmd.Bool("small")}
	if err := p.playMissing(ctx, plays, resultsFile, cmd.Int("jobs")); err != nil {
		return err
	}
	known, err := loadResults(resultsFile)
	if err != nil {
		return err
	}
	return summarize(verdictsOf(plays, known), len(plays), cmd.Float("low"))
}

// prepareResults makes the folder for results and names the result file in it.
func prepareResults(out string) (resultsFile string, err error) {
	return filepath.Join(out, "results.jsonl"), os.MkdirAll(out, 0o755)
}

// removeIfPresent removes a file; that there is none is fine.
func removeIfPresent(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// playMissing plays what the result file holds no verdict of, and adds the verdicts to it.
func (p *player) playMissing(ctx context.Context, plays []scheduledPlay, resultsFile string, jobs int) error {
	known, err := loadResults(resultsFile)
	if err != nil {
		return err
	}
	results, err := os.OpenFile(resultsFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if _, err := results.WriteString("\n"); err != nil { // ends a line that was cut short
		return errors.Join(err, results.Close())
	}
	p.results = results
	p.playAll(ctx, missing(plays, known), jobs)
	return errors.Join(p.writeErr, results.Close())
}

// listPlays lists the plays of all days that were asked for, in the order of their names.
func listPlays(cmd *cli.Command, site days.Site) ([]scheduledPlay, error) {
	catalogue, err := parseFile(cmd.String("kinds"), days.ParseCatalogue)
	if err != nil {
		return nil, err
	}
	files, err := dayFiles(cmd.String("days"), cmd.String("kinds"))
	if err != nil {
		return nil, err
	}
	var plays []scheduledPlay
	for _, path := range files {
		if !strings.Contains(filepath.Base(path), cmd.String("match")) {
			continue
		}
		first, err := firstPlay(path, catalogue, site)
		if err != nil {
			return nil, err
		}
		for i := range cmd.Int("seeds") {
			next := first
			next.verdict.Seed += uint64(i)
			plays = append(plays, next)
		}
	}
	return plays, nil
}

// firstPlay is the play of a day with its own seed, or the note that the site cannot take it.
func firstPlay(path string, catalogue days.Catalogue, site days.Site) (scheduledPlay, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return scheduledPlay{}, err
	}
	day, err := days.ParseDay(text)
	if err != nil {
		return scheduledPlay{}, fmt.Errorf("%s: %w", path, err)
	}
	name := strings.TrimSuffix(filepath.Base(path), ".toml")
	verdict := days.Verdict{Day: name, Seed: day.Seed, Digest: fmt.Sprintf("%.8x", sha256.Sum256(text))}
	if closed := catalogue.UnsupportedKinds(day, site); len(closed) > 0 {
		verdict.Outcome, verdict.Notes = days.NotForSite, []string{"not open here: " + strings.Join(closed, ", ")}
	}
	return scheduledPlay{path, verdict}, nil
}

// dayFiles lists the days of a folder, or the one file.
func dayFiles(path, kinds string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil || !info.IsDir() {
		return []string{path}, err
	}
	files, err := filepath.Glob(filepath.Join(path, "*.toml"))
	isKinds := func(file string) bool { return filepath.Base(file) == filepath.Base(kinds) }
	return slices.DeleteFunc(files, isKinds), err
}

// playKey tells plays apart.
func playKey(v days.Verdict) string { return fmt.Sprint(v.Day, " ", v.Seed, " ", v.Digest) }

func loadResults(path string) (map[string]days.Verdict, error) {
	known := map[string]days.Verdict{}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return known, nil
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, 1<<24)
	for lines.Scan() {
		var verdict days.Verdict
		if json.Unmarshal(lines.Bytes(), &verdict) == nil { // a line that was cut short is played again
			known[playKey(verdict)] = verdict
		}
	}
	return known, errors.Join(err, lines.Err())
}

// missing returns the plays without a verdict. A day that could not be played is tried again.
func missing(plays []scheduledPlay, known map[string]days.Verdict) []scheduledPlay {
	return slices.DeleteFunc(slices.Clone(plays), func(p scheduledPlay) bool {
		verdict, found := known[playKey(p.verdict)]
		return found && verdict.Outcome != days.NotPlayed
	})
}

func verdictsOf(plays []scheduledPlay, known map[string]days.Verdict) []days.Verdict {
	var verdicts []days.Verdict
	for _, p := range plays {
		if verdict, found := known[playKey(p.verdict)]; found {
			verdicts = append(verdicts, verdict)
		}
	}
	return verdicts
}

func (p *player) playAll(ctx context.Context, plays []scheduledPlay, jobs int) {
	var workers sync.WaitGroup
	free := make(chan struct{}, max(1, jobs))
	for _, next := range plays {
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		workers.Go(func() {
			defer func() { <-free }()
			p.playDay(ctx, next)
		})
	}
	workers.Wait()
}

// playDay plays a day and keeps its verdict. A play that was stopped leaves none.
func (p *player) playDay(ctx context.Context, scheduled scheduledPlay) {
	verdict := scheduled.verdict
	if verdict.Outcome != days.NotForSite {
		if err := p.runBench(ctx, scheduled.path, &verdict); err != nil {
			if ctx.Err() != nil {
				return
			}
			verdict.Outcome, verdict.Notes = days.NotPlayed, append(verdict.Notes, err.Error())
		}
	}
	p.record(verdict)
}

var entryLine = regexp.MustCompile(`(?m)^snapshot ([0-9a-f]+)$`)

// runBench has the bench play the day and fills the verdict from its report and its journal.
func (p *player) runBench(ctx context.Context, path string, verdict *days.Verdict) error {
	base := filepath.Join(p.outDir, fmt.Sprintf("%s.%d", verdict.Day, verdict.Seed))
	reportFile := base + ".json"
	args := []string{"run", p.site, path, "--seed", fmt.Sprint(verdict.Seed), "--report", reportFile, "--why", p.why}
	if p.small {
		args = append(args, "--small")
	}
	if err := removeIfPresent(reportFile); err != nil {
		return err
	}
	bench := exec.CommandContext(ctx, p.bench, args...)
	bench.Cancel = func() error { return bench.Process.Signal(syscall.SIGTERM) }
	bench.WaitDelay = 10 * time.Second
	printed, benchErr := bench.CombinedOutput()
	if err := os.WriteFile(base+".txt", printed, 0o644); err != nil {
		return err
	}
	report, err := os.ReadFile(reportFile)
	if err != nil {
		return errors.Join(benchErr, fmt.Errorf("no report; the last line printed: %s", lastLine(printed)))
	}
	if err := verdict.Fill(report); err != nil {
		return err
	}
	if found := entryLine.FindSubmatch(printed); found != nil {
		verdict.Entry = string(found[1])
		return readGate(verdict)
	}
	return nil
}

// readGate takes the verdict on the gate from the bench's journal.
func readGate(verdict *days.Verdict) error {
	entries, err := filepath.Glob(filepath.Join("journal", "*-"+verdict.Entry+".json"))
	if err != nil || len(entries) == 0 {
		return err
	}
	verdict.Gate, err = parseFile(entries[0], days.ParseGate)
	return err
}

func lastLine(text []byte) string {
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range slices.Backward(lines) {
		if line != "" && !strings.HasPrefix(line, "snapshot ") {
			return line
		}
	}
	return ""
}

func (p *player) record(verdict days.Verdict) {
	line, err := json.Marshal(verdict)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		_, err = p.results.Write(append(line, '\n'))
	}
	if p.writeErr == nil {
		p.writeErr = err
	}
	if verdict.Outcome != days.NotForSite {
		printVerdict(verdict)
	}
}

func printVerdict(verdict days.Verdict) {
	if verdict.Outcome != days.Played {
		fmt.Printf("%-44s %s: %s\n", verdict.Day, verdict.Outcome, strings.Join(verdict.Notes, "; "))
		return
	}
	gate := "passed"
	if !verdict.Gate {
		gate = "failed"
	}
	fmt.Printf("%-44s seed %-8d gate %s score %.3f served %.3f refused %.3f failed %.3f broken: %s\n",
		verdict.Day, verdict.Seed, gate, verdict.Score, verdict.Served, verdict.Refused, verdict.Failed, verdict.BrokenRules())
}

// summarize prints the days that did not pass, worst first, and the sums.
func summarize(verdicts []days.Verdict, asked int, low float64) error {
	days.WorstFirst(verdicts)
	summary := days.Summarize(verdicts, low)
	fmt.Printf("\n%d plays asked for, %d played, %d passed, %d not for this site, %d could not be played, %d not reached\n",
		asked, summary.Played, summary.Passed, summary.NotForSite, summary.NotPlayed, asked-len(verdicts))
	if summary.Played > 0 {
		fmt.Printf("score %.3f in the mean, %.3f at worst, %d under %.2f; %.3f refused at most\n", summary.Mean,
			summary.Lowest, summary.Low,
			low, summary.MostRefused)
	}
	for _, verdict := range verdicts {
		if verdict.Outcome == days.NotForSite || verdict.Passed() && verdict.Score >= low {
			continue
		}
		printVerdict(verdict)
		for _, note := range verdict.Notes {
			fmt.Println("   ", note)
		}
	}
	if failed := asked - summary.Passed - summary.NotForSite; failed > 0 {
		return fmt.Errorf("%d of %d plays did not pass", failed, asked)
	}
	return nil
}
