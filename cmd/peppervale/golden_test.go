package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"peppervale/internal/cli"
)

// callMost bounds a command that ought to refuse its file: one that took it would serve until then.
const callMost = 20 * time.Second

// samePinned fails unless the text is that of the golden file.
func samePinned(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		gotLine, wantLine := lineAt(gotLines, i), lineAt(wantLines, i)
		if gotLine != wantLine {
			t.Fatalf("%s:%d: got\n%s\nwant\n%s", path, i+1, gotLine, wantLine)
		}
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(nothing)"
}

// repositoryRoot is what outputs are made relative to.
func repositoryRoot(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	return root
}

// transcript runs a command line and tells its exit status and output, with paths from the root of the repository.
func transcript(t *testing.T, args ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callMost)
	defer cancel()
	var out, errs bytes.Buffer
	status := run(ctx, args, &out, &errs)
	text := fmt.Sprintf("$ peppervale %s\nstatus %d\n%s%s\n", strings.Join(args, " "), status, out.String(), errs.String())
	root := repositoryRoot(t) + string(filepath.Separator)
	return strings.ReplaceAll(strings.ReplaceAll(text, root, ""), "../../", "")
}

func files(t *testing.T, patterns ...string) (all []string) {
	t.Helper()
	for _, pattern := range patterns {
		found, err := filepath.Glob(pattern)
		if err != nil || len(found) == 0 {
			t.Fatalf("%s: no files, %v", pattern, err)
		}
		slices.Sort(found)
		all = append(all, found...)
	}
	return all
}

// TestGoldenCheck checks every file that the repository offers.
func TestGoldenCheck(t *testing.T) {
	var text strings.Builder
	offered := files(t, "../../scenarios/*.hcl", "../../scenarios/broken/*.hcl", "../../scenarios/lib/*.hcl", "../../examples/*.hcl")
	for _, file := range offered {
		text.WriteString(transcript(t, "check", file))
	}
	samePinned(t, "check.txt", text.String())
}

// faultyCommand is the command that reads a faulty file, by the first word of its name.
func faultyCommand(file string) []string {
	kind, _, _ := strings.Cut(filepath.Base(file), "-")
	switch kind {
	case "governor", "day":
		return []string{"check", file}
	case "platform":
		return []string{"platform", "--config", file}
	}
	return []string{"stand", kind, "--config", file}
}

// TestGoldenFaults pins what is told of faulty files of each kind. The files "types" give every setting a value of a
// wrong type; the files "unknown" give each block a setting that it does not have, and the answers list those it has.
func TestGoldenFaults(t *testing.T) {
	var text strings.Builder
	for _, file := range files(t, "testdata/faulty/*") {
		one := transcript(t, faultyCommand(file)...)
		if !strings.Contains(one, "\nstatus 2\n") {
			t.Errorf("it is taken:\n%s", one)
		}
		text.WriteString(one)
	}
	samePinned(t, "faulty.txt", text.String())
}

// parse gives what the command line makes of the words, and runs nothing.
func parse(t *testing.T, words ...string) (*kong.Context, error) {
	t.Helper()
	var line cli.Line
	parser, err := kong.New(&line, kong.Name("peppervale"))
	if err != nil {
		t.Fatal(err)
	}
	return parser.Parse(words)
}

// TestGoldenCommands parses every command with all its flags, as it was first published: a name that changes stays
// as an alias.
func TestGoldenCommands(t *testing.T) {
	t.Setenv("LB_CONFIG", "")
	text, err := os.ReadFile("testdata/commands.txt")
	if err != nil {
		t.Fatal(err)
	}
	commands := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(commands) < 2 {
		t.Fatal("no commands")
	}
	for _, words := range commands {
		if _, err := parse(t, strings.Fields(words)...); err != nil {
			t.Errorf("%s: %v", words, err)
		}
	}
	for _, words := range []string{"frobnicate", "version --frobnicate", "day run", "measure storm --rates x"} {
		if _, err := parse(t, strings.Fields(words)...); err == nil {
			t.Errorf("%s: is parsed", words)
		}
	}
}

// TestGoldenFlags pins what the help model says of each flag of commands.txt, by its published name or an alias.
func TestGoldenFlags(t *testing.T) {
	commands, err := os.ReadFile("testdata/commands.txt")
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for line := range strings.Lines(string(commands)) {
		words := strings.Fields(line)
		parsed, err := parse(t, words...)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		for _, word := range words {
			if name, isFlag := strings.CutPrefix(word, "--"); isFlag {
				fmt.Fprintf(&text, "%s --%s: %s\n", published(words), name, flagFacts(t, parsed, name))
			}
		}
	}
	samePinned(t, "flags.txt", text.String())
}

// published gives the words of a command line before its first flag.
func published(words []string) string {
	end := slices.IndexFunc(words, func(word string) bool { return strings.HasPrefix(word, "-") })
	return strings.Join(words[:end], " ")
}

// flagFacts tells a flag's default value and what else it takes.
func flagFacts(t *testing.T, parsed *kong.Context, name string) string {
	t.Helper()
	for _, flag := range parsed.Flags() {
		if flag.Name != name && !slices.Contains(flag.Aliases, name) {
			continue
		}
		short := ""
		if flag.Short != 0 {
			short = string(flag.Short)
		}
		return fmt.Sprintf("required %v, default %q, enum %q, short %q, environment %q",
			flag.Required, flag.Default, flag.Enum, short, flag.Tag.Envs)
	}
	t.Errorf("no flag --%s", name)
	return ""
}

// TestPlatformFileFromTheEnvironment pins the variable by which the platform names its file.
func TestPlatformFileFromTheEnvironment(t *testing.T) {
	t.Setenv("LB_CONFIG", "testdata/faulty/platform-seed.json")
	if one := transcript(t, "platform"); !strings.Contains(one, "platform-seed.json: seed: ") {
		t.Error(one)
	}
}
