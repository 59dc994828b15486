// Package cmd_test checks what the programs of cmd need to be built.
package cmd_test

import (
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// deployFile says how the gateway is built, and which Debian packages that needs.
const deployFile = "../deploy/system.toml"

// TestPackages guards against a build that needs a Debian package which the deploy file does not list: on a machine that
// has only the listed packages it would fail. The build runs with an empty cache, and finds only the programs of the
// listed packages, of what these depend on, and of the essential ones. What the C compiler opens by itself (its passes,
// headers, objects and libraries) must be of these packages too.
func TestPackages(t *testing.T) {
	if _, err := exec.LookPath("dpkg-query"); err != nil {
		t.Skip("no dpkg here: whether the list of packages is complete can't be checked")
	}
	build, listed := readDeployFile(t)
	if !slices.Contains(listed, "ca-certificates") {
		t.Error("ca-certificates is not listed: the module proxy is reached by TLS")
	}
	all := closure(t, listed)
	files := filesOf(t, all)
	programs := linkPrograms(t, files)
	runBuild(t, build, programs)
	for _, file := range compilerFiles(t, filepath.Join(programs, "gcc")) {
		if !owned(files, file) {
			t.Errorf("the build needs %s, which is of no listed package", file)
		}
	}
}

// readDeployFile returns the command of the build and the list of packages.
func readDeployFile(t *testing.T) (build string, packages []string) {
	t.Helper()
	text, err := os.ReadFile(deployFile)
	if err != nil {
		t.Fatal(err)
	}
	command := regexp.MustCompile(`(?m)^build = "(.*)"`).FindSubmatch(text)
	list := regexp.MustCompile(`(?m)^packages = \[(.*)\]`).FindSubmatch(text)
	if command == nil || list == nil {
		t.Fatalf("%s has no build or no packages", deployFile)
	}
	for _, quoted := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		packages = append(packages, string(quoted[1]))
	}
	return string(command[1]), packages
}

// closure returns the listed packages, the essential ones, and what these depend on. Of alternatives, those count that
// are installed. A listed package that is not installed is an error: the check can't see what it brings.
func closure(t *testing.T, listed []string) []string {
	t.Helper()
	depends, todo := map[string]string{}, slices.Clone(listed)
	provided := map[string][]string{}
	for line := range strings.Lines(output(t, "dpkg-query", "-W", "-f", "${Package}|${Essential}|${Provides}|${Pre-Depends}, ${Depends}\n")) {
		f := strings.SplitN(strings.TrimSpace(line), "|", 4)
		depends[f[0]] = f[3]
		if f[1] == "yes" {
			todo = append(todo, f[0])
		}
		for _, name := range names(f[2]) {
			provided[name] = append(provided[name], f[0])
		}
	}
	for _, p := range listed {
		if _, installed := depends[p]; !installed {
			t.Errorf("package %s is listed and not installed", p)
		}
	}
	found := map[string]bool{}
	for len(todo) > 0 {
		p := todo[0]
		todo = todo[1:]
		if _, installed := depends[p]; !installed || found[p] {
			continue
		}
		found[p] = true
		for _, name := range names(depends[p]) {
			todo = append(append(todo, name), provided[name]...)
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// names returns the packages that a field of a package's description names, without versions and architectures.
func names(field string) (out []string) {
	for _, one := range strings.FieldsFunc(field, func(r rune) bool { return r == ',' || r == '|' }) {
		if words := strings.Fields(one); len(words) > 0 {
			name, _, _ := strings.Cut(words[0], ":")
			out = append(out, name)
		}
	}
	return out
}

// filesOf returns the paths that packages hold.
func filesOf(t *testing.T, packages []string) map[string]bool {
	t.Helper()
	files := map[string]bool{}
	for line := range strings.Lines(output(t, "dpkg", append([]string{"-L"}, packages...)...)) {
		files[strings.TrimSpace(line)] = true
	}
	return files
}

// owned says whether a file is of the packages. With /lib and /bin merged into /usr, dpkg may know it by either name.
func owned(files map[string]bool, path string) bool {
	for _, name := range []string{filepath.Clean(path), resolved(path)} {
		if files[name] || files["/usr"+name] || files[strings.TrimPrefix(name, "/usr")] {
			return true
		}
	}
	return false
}

// resolved is a path without links.
func resolved(path string) string {
	if real, err := filepath.EvalSymlinks(path); err == nil {
		return real
	}
	return path
}

// linkPrograms returns a directory with links to the programs among the files, and to go.
func linkPrograms(t *testing.T, files map[string]bool) string {
	t.Helper()
	dir := t.TempDir()
	for file := range files {
		switch filepath.Dir(file) {
		case "/bin", "/usr/bin", "/sbin", "/usr/sbin":
			_ = os.Symlink(file, filepath.Join(dir, filepath.Base(file))) // one that is there by its other name is the same
		}
	}
	own := filepath.Join(strings.TrimSpace(output(t, "go", "env", "GOROOT")), "bin", "go")
	if err := os.Symlink(own, filepath.Join(dir, "go")); err != nil {
		t.Fatal(err)
	}
	return dir
}

// runBuild runs the build from the root, into a scratch directory, with an empty cache and no other programs.
func runBuild(t *testing.T, build, programs string) {
	t.Helper()
	target := t.TempDir()
	cmd := exec.Command(filepath.Join(programs, "sh"), "-c", strings.ReplaceAll(build, "target", target))
	cmd.Dir = ".."
	cmd.Env = append(os.Environ(), "PATH="+programs, "GOCACHE="+t.TempDir(), "GOFLAGS=-p=4", "GOTOOLCHAIN=local", "CC=", "CGO_CFLAGS=", "CGO_LDFLAGS=")
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("the build with the listed packages alone: %v\n%s", err, text)
	}
	for _, program := range []string{"controller", "edge", "operator"} {
		if _, err := os.Stat(filepath.Join(target, program)); err != nil {
			t.Error(err)
		}
	}
}

// compilerFiles returns what a C compiler opens by itself when it builds what the standard library's cgo packages need:
// its passes, the headers of their C files, and the objects and libraries of the link.
func compilerFiles(t *testing.T, gcc string) []string {
	t.Helper()
	var found []string
	for _, pass := range []string{"cc1", "as", "collect2", "ld"} {
		path := strings.TrimSpace(output(t, gcc, "-print-prog-name="+pass))
		if !filepath.IsAbs(path) {
			path = filepath.Join("/usr/bin", path)
		}
		found = append(found, path)
	}
	root := strings.TrimSpace(output(t, "go", "env", "GOROOT"))
	sources, err := filepath.Glob(filepath.Join(root, "src/runtime/cgo/*linux*.c"))
	if err != nil || len(sources) == 0 {
		t.Fatalf("no C files of runtime/cgo: %v", err)
	}
	for _, source := range append(sources, filepath.Join(root, "src/runtime/cgo/gcc_util.c")) {
		if strings.Contains(filepath.Base(source), "arm") || strings.Contains(filepath.Base(source), "s390x") {
			continue
		}
		for _, word := range strings.Fields(output(t, gcc, "-M", "-MG", source)) {
			if filepath.IsAbs(word) && !strings.HasPrefix(word, root) {
				found = append(found, word)
			}
		}
	}
	return append(found, linkedFiles(t, gcc)...)
}

// linkedFiles returns the objects and libraries of a link as cgo asks for it.
func linkedFiles(t *testing.T, gcc string) (found []string) {
	t.Helper()
	dir := t.TempDir()
	source := filepath.Join(dir, "main.c")
	if err := os.WriteFile(source, []byte("int main(void) { return 0; }\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	traced := output(t, gcc, "-Wl,--trace", "-o", filepath.Join(dir, "main"), source, "-lpthread", "-lresolv")
	for _, line := range strings.Fields(traced) {
		if filepath.IsAbs(line) && strings.HasPrefix(filepath.Clean(line), "/usr") || strings.HasPrefix(line, "/lib") {
			found = append(found, line)
		}
	}
	if len(found) == 0 {
		t.Fatalf("the linker names no files: %s", traced)
	}
	return found
}

// output runs a program and returns what it writes.
func output(t *testing.T, program string, args ...string) string {
	t.Helper()
	cmd := exec.Command(program, args...)
	var errs strings.Builder
	cmd.Stderr = &errs
	text, err := cmd.Output()
	if err != nil {
		t.Fatalf("%s %s: %v\n%s", program, strings.Join(args, " "), err, errs.String())
	}
	return string(text)
}
