package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// stubBench stands in for the bench: it notes the day that it is asked for, and reports a broken rule for days named bad.
const stubBench = `#!/bin/sh
echo "$3" >> "$(dirname "$0")/played"
while [ "$1" != --report ]; do day=${day:-$3}; shift; done
case $day in
*bad*) echo '{"G":0.5,"breaks":{"CONFIG":1}}' > "$2" ;;
*) echo '{"G":0.95}' > "$2" ;;
esac
`

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o755); err != nil {
		t.Fatal(err)
	}
}

func TestPlayGoesOnWhereItStopped(t *testing.T) {
	dir := t.TempDir()
	in := func(name string) string { return filepath.Join(dir, name) }
	write(t, in("bench"), stubBench)
	write(t, in("site"), "name='s'\ncontracts=['base']\nlength_s=30.0")
	write(t, in("kinds.toml"), "[[kind]]\nname='k'\ngroup='core'\n[[kind]]\nname='q'\ngroup='client'\ncontract='quota'")
	for name, kind := range map[string]string{"good": "k", "bad": "k", "closed": "q"} {
		write(t, in(name+".toml"), "name='"+name+"'\nseed=1\nfaults=[{at=1.0,kind='"+kind+"'}]")
	}
	play := func(more ...string) error {
		args := []string{"play", "--bench", in("bench"), "--site", in("site"), "--days", dir, "--kinds", in("kinds.toml"), "--out", in("out"), "--seeds", "2"}
		return playCommand().Run(context.Background(), append(args, more...))
	}
	played := func() int {
		text, _ := os.ReadFile(in("played"))
		return strings.Count(string(text), "\n")
	}
	if err := play(); err == nil || !strings.Contains(err.Error(), "2 of 6 plays") || played() != 4 {
		t.Fatalf("%d played: %v", played(), err)
	}
	results, err := os.ReadFile(in("out/results.jsonl"))
	if err != nil || strings.Count(string(results), "not for this site") != 2 {
		t.Fatalf("%s: %v", results, err)
	}
	write(t, in("out/results.jsonl"), strings.TrimRight(string(results), "}\n")) // the last verdict is torn
	write(t, in("good.toml"), "name='good'\nseed=1\nfaults=[{at=2.0,kind='k'}]") // two plays of a changed day
	if err := play("--resume"); err == nil || played() < 6 || played() > 7 {
		t.Fatalf("%d played after the resumption: %v", played(), err)
	}
	if before := played(); play("--resume") == nil || played() != before {
		t.Errorf("%d played again with all results known", played()-before)
	}
	if err := os.Remove(in("bad.toml")); err != nil {
		t.Fatal(err)
	}
	if err := play("--resume"); err != nil {
		t.Errorf("without the bad day: %v", err)
	}
}
