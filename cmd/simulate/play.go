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

// play is one play of one day.
type play struct {
	path    string
	verdict days.Verdict
}

// player plays days of one site and keeps their verdicts.
type player struct {
	bench, site, why, out string
	small                 bool

	mu      sync.Mutex
	results io.Writer
	fault   error // the first one met in writing results
}

func playDays(ctx context.Context, cmd *cli.Command) error {
	site, err := read(cmd.String("site"), days.ParseSite)
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
	resultsFile, err := prepare(out, cmd.Bool("resume"))
	if err != nil {
		return err
	}
	p := &player{bench: cmd.String("bench"), site: cmd.String("site"), why: cmd.String("why"), out: out, small: cmd.Bool("small")}
	if err := p.playMissing(ctx, plays, resultsFile, cmd.Int("jobs")); err != nil {
		return err
	}
	known, err := loadResults(resultsFile)
	if err != nil {
		return err
	}
	return summarize(wanted(plays, known), len(plays), cmd.Float("low"))
}

// prepare makes the folder for results and names the result file in it, which it removes unless the play is resumed.
func prepare(out string, resume bool) (resultsFile string, err error) {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return "", err
	}
	resultsFile = filepath.Join(out, "results.jsonl")
	if resume {
		return resultsFile, nil
	}
	if err := os.Remove(resultsFile); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return "", err
	}
	return resultsFile, nil
}

// playMissing plays what the result file holds no verdict of, and adds the verdicts to it.
func (p *player) playMissing(ctx context.Context, plays []play, resultsFile string, jobs int) error {
	known, err := loadResults(resultsFile)
	if err != nil {
		return err
	}
	results, err := os.OpenFile(resultsFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer results.Close()
	if _, err := results.WriteString("\n"); err != nil { // ends a line that was cut short
		return err
	}
	p.results = results
	p.playAll(ctx, missing(plays, known), jobs)
	return p.fault
}

// listPlays lists the plays of all days that were asked for, in the order of their names.
func listPlays(cmd *cli.Command, site days.Site) ([]play, error) {
	catalogue, err := read(cmd.String("kinds"), days.ParseCatalogue)
	if err != nil {
		return nil, err
	}
	files, err := dayFiles(cmd.String("days"), cmd.String("kinds"))
	if err != nil {
		return nil, err
	}
	var plays []play
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
func firstPlay(path string, catalogue days.Catalogue, site days.Site) (play, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return play{}, err
	}
	day, err := days.ParseDay(text)
	if err != nil {
		return play{}, fmt.Errorf("%s: %w", path, err)
	}
	name := strings.TrimSuffix(filepath.Base(path), ".toml")
	v := days.Verdict{Day: name, Seed: day.Seed, Digest: fmt.Sprintf("%.8x", sha256.Sum256(text))}
	if closed := catalogue.Closed(day, site); len(closed) > 0 {
		v.Outcome, v.Notes = days.NotForSite, []string{"not open here: " + strings.Join(closed, ", ")}
	}
	return play{path, v}, nil
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

// key tells plays apart.
func key(v days.Verdict) string { return fmt.Sprint(v.Day, " ", v.Seed, " ", v.Digest) }

func loadResults(path string) (map[string]days.Verdict, error) {
	known := map[string]days.Verdict{}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return known, nil
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, 1<<24)
	for lines.Scan() {
		var v days.Verdict
		if json.Unmarshal(lines.Bytes(), &v) == nil { // a line that was cut short is played again
			known[key(v)] = v
		}
	}
	return known, errors.Join(err, lines.Err())
}

// missing returns the plays without a verdict. A day that could not be played is tried again.
func missing(plays []play, known map[string]days.Verdict) []play {
	return slices.DeleteFunc(slices.Clone(plays), func(p play) bool {
		v, found := known[key(p.verdict)]
		return found && v.Outcome != days.NotPlayed
	})
}

func wanted(plays []play, known map[string]days.Verdict) []days.Verdict {
	var verdicts []days.Verdict
	for _, p := range plays {
		if v, found := known[key(p.verdict)]; found {
			verdicts = append(verdicts, v)
		}
	}
	return verdicts
}

func (p *player) playAll(ctx context.Context, plays []play, jobs int) {
	var all sync.WaitGroup
	free := make(chan struct{}, max(1, jobs))
	for _, one := range plays {
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		all.Go(func() {
			defer func() { <-free }()
			p.one(ctx, one)
		})
	}
	all.Wait()
}

// one plays a day and keeps its verdict. A play that was stopped leaves none.
func (p *player) one(ctx context.Context, one play) {
	v := one.verdict
	if v.Outcome != days.NotForSite {
		if err := p.run(ctx, one.path, &v); err != nil {
			if ctx.Err() != nil {
				return
			}
			v.Outcome, v.Notes = days.NotPlayed, append(v.Notes, err.Error())
		}
	}
	p.keep(v)
}

var entryLine = regexp.MustCompile(`(?m)^snapshot ([0-9a-f]+)$`)

// run has the bench play the day and fills the verdict from its report and its journal.
func (p *player) run(ctx context.Context, path string, v *days.Verdict) error {
	base := filepath.Join(p.out, fmt.Sprintf("%s.%d", v.Day, v.Seed))
	reportFile := base + ".json"
	args := []string{"run", p.site, path, "--seed", fmt.Sprint(v.Seed), "--report", reportFile, "--why", p.why}
	if p.small {
		args = append(args, "--small")
	}
	if err := os.Remove(reportFile); err != nil && !errors.Is(err, fs.ErrNotExist) {
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
	if err := v.Fill(report); err != nil {
		return err
	}
	if found := entryLine.FindSubmatch(printed); found != nil {
		v.Entry = string(found[1])
		return gate(v)
	}
	return nil
}

// gate takes the verdict on the gate from the bench's journal.
func gate(v *days.Verdict) error {
	entries, err := filepath.Glob(filepath.Join("journal", "*-"+v.Entry+".json"))
	if err != nil || len(entries) == 0 {
		return err
	}
	v.Gate, err = read(entries[0], days.ParseGate)
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

func (p *player) keep(v days.Verdict) {
	line, err := json.Marshal(v)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		_, err = p.results.Write(append(line, '\n'))
	}
	if p.fault == nil {
		p.fault = err
	}
	if v.Outcome != days.NotForSite {
		tellVerdict(v)
	}
}

func tellVerdict(v days.Verdict) {
	if v.Outcome != days.Played {
		fmt.Printf("%-44s %s: %s\n", v.Day, v.Outcome, strings.Join(v.Notes, "; "))
		return
	}
	gate := "passed"
	if !v.Gate {
		gate = "failed"
	}
	fmt.Printf("%-44s seed %-8d gate %s score %.3f served %.3f refused %.3f failed %.3f broken: %s\n",
		v.Day, v.Seed, gate, v.Score, v.Served, v.Refused, v.Failed, v.Rules())
}

// summarize prints the days that did not pass, worst first, and the sums.
func summarize(verdicts []days.Verdict, asked int, low float64) error {
	days.WorstFirst(verdicts)
	s := days.Summarize(verdicts, low)
	fmt.Printf("\n%d plays asked for, %d played, %d passed, %d not for this site, %d could not be played, %d not reached\n",
		asked, s.Played, s.Passed, s.NotForSite, s.NotPlayed, asked-len(verdicts))
	if s.Played > 0 {
		fmt.Printf("score %.3f in the mean, %.3f at worst, %d under %.2f; %.3f refused at most\n", s.Mean, s.Lowest, s.Low,
			low, s.MostRefused)
	}
	for _, v := range verdicts {
		if v.Outcome == days.NotForSite || v.Sound() && v.Score >= low {
			continue
		}
		tellVerdict(v)
		for _, note := range v.Notes {
			fmt.Println("   ", note)
		}
	}
	if bad := asked - s.Passed - s.NotForSite; bad > 0 {
		return fmt.Errorf("%d of %d plays did not pass", bad, asked)
	}
	return nil
}
