package main

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"peppervale/internal/cli"
)

// commandTimeout bounds a command that ought to reject its file: one that accepted it would serve until then.
const commandTimeout = 20 * time.Second

// expectGolden fails the test unless a text is that of the golden file.
func expectGolden(t *testing.T, name, got string) {
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

// repositoryRoot returns the directory that paths in outputs are relative to.
func repositoryRoot(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	return root
}

// transcript runs a command line and returns its exit status and output, with paths from the root of the repository.
func transcript(t *testing.T, args ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	var out, errOut bytes.Buffer
	status := run(ctx, args, &out, &errOut)
	text := fmt.Sprintf("$ peppervale %s\nstatus %d\n%s%s\n",
		strings.Join(args, " "), status, out.String(), errOut.String())
	root := repositoryRoot(t) + string(filepath.Separator)
	return strings.ReplaceAll(strings.ReplaceAll(text, root, ""), "../../", "")
}

// files returns the files that match the patterns, sorted for each pattern.
func files(t *testing.T, patterns ...string) []string {
	t.Helper()
	var all []string
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
	offered := files(t, "../../scenarios/*.hcl", "../../scenarios/faulty/*.hcl", "../../scenarios/lib/*.hcl",
		"../../examples/*.hcl")
	for _, file := range offered {
		text.WriteString(transcript(t, "check", file))
	}
	expectGolden(t, "check.txt", text.String())
}

// faultyCommand returns the command that reads a faulty file, by the first word of its name.
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

// TestGoldenFaults pins what is reported of faulty files of each kind. The files "types" give every setting a value of
// a wrong type; the files "unknown" give each block a setting that it does not have, and the answers list those it
// has.
func TestGoldenFaults(t *testing.T) {
	var text strings.Builder
	for _, file := range files(t, "testdata/faulty/*") {
		output := transcript(t, faultyCommand(file)...)
		if !strings.Contains(output, "\nstatus 2\n") {
			t.Errorf("a faulty file is accepted:\n%s", output)
		}
		text.WriteString(output)
	}
	expectGolden(t, "faulty.txt", text.String())
}

// parse parses a command line and runs nothing.
func parse(t *testing.T, words ...string) (*kong.Context, error) {
	t.Helper()
	parser, err := kong.New(&cli.CommandLine{}, kong.Name("peppervale"))
	if err != nil {
		t.Fatal(err)
	}
	return parser.Parse(words)
}

// readCommands returns the command lines of a file in testdata.
func readCommands(t *testing.T, name string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	commands := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(commands) < 2 {
		t.Fatalf("no commands in %s", name)
	}
	return commands
}

// TestGoldenCommands parses every command with all its flags, as it was first published: a name that changes stays
// as an alias.
func TestGoldenCommands(t *testing.T) {
	t.Setenv("LB_CONFIG", "")
	for _, words := range readCommands(t, "commands.txt") {
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

// formerWords are the words of commands that have new names; the former ones are aliases.
var formerWords = map[string]string{
	"serve":         "governor",
	"cluster":       "group",
	"remove-member": "strike",
	"scenario":      "day",
	"standin":       "stand",
	"proxy":         "forwarder",
	"benchmark":     "measure",
}

// TestRenamedCommands parses every renamed command with all its flags, by its new name and by its former one, which has
// to be in commands.txt word for word: both are the same command with the same flags and values.
func TestRenamedCommands(t *testing.T) {
	published := readCommands(t, "commands.txt")
	unused := maps.Clone(formerWords)
	for _, line := range readCommands(t, "commands-renamed.txt") {
		t.Run(line, func(t *testing.T) {
			words := strings.Fields(line)
			formerLine := slices.Clone(words)
			for i, word := range words {
				if former, ok := formerWords[word]; ok {
					formerLine[i] = former
					delete(unused, word)
				}
			}
			if !slices.Contains(published, strings.Join(formerLine, " ")) {
				t.Fatalf("%q is not in commands.txt", strings.Join(formerLine, " "))
			}
			renamed, err := parse(t, words...)
			if err != nil {
				t.Fatal(err)
			}
			former, err := parse(t, formerLine...)
			if err != nil {
				t.Fatal(err)
			}
			if renamed.Command() != former.Command() {
				t.Errorf("command %q, formerly %q", renamed.Command(), former.Command())
			}
			got, want := renamed.Selected().Target.Interface(), former.Selected().Target.Interface()
			if !reflect.DeepEqual(got, want) {
				t.Errorf("parsed %+v, formerly %+v", got, want)
			}
		})
	}
	if len(unused) > 0 {
		t.Errorf("commands-renamed.txt has no line for %v", unused)
	}
}

// TestGoldenFlags pins what the help model says of each flag of commands.txt, by its published name or an alias.
func TestGoldenFlags(t *testing.T) {
	var text strings.Builder
	for _, line := range readCommands(t, "commands.txt") {
		words := strings.Fields(line)
		parsed, err := parse(t, words...)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		for _, word := range words {
			if name, isFlag := strings.CutPrefix(word, "--"); isFlag {
				fmt.Fprintf(&text, "%s --%s: %s\n", published(words), name, flagProperties(t, parsed, name))
			}
		}
	}
	expectGolden(t, "flags.txt", text.String())
}

// published returns the words of a command line before its first flag.
func published(words []string) string {
	end := slices.IndexFunc(words, func(word string) bool { return strings.HasPrefix(word, "-") })
	return strings.Join(words[:end], " ")
}

// flagProperties returns a flag's default value and what else it takes.
func flagProperties(t *testing.T, parsed *kong.Context, name string) string {
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
	if output := transcript(t, "platform"); !strings.Contains(output, "platform-seed.json: seed: ") {
		t.Error(output)
	}
}
