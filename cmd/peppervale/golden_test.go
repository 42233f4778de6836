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

// commandTimeout limits a command that should reject its file. If it accepts the file, it serves until this timeout.
const commandTimeout = 20 * time.Second

// expectGolden fails the test unless a text equals the content of a golden file.
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
	return "(no such line)"
}

// repositoryRoot returns the root directory of the repository.
func repositoryRoot(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	return root
}

// transcript runs a command line and returns its exit status and output, with paths relative to the repository's root.
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

// matchingFiles returns the files that match the patterns, sorted within each pattern.
func matchingFiles(t *testing.T, patterns ...string) []string {
	t.Helper()
	var files []string
	for _, pattern := range patterns {
		found, err := filepath.Glob(pattern)
		if err != nil || len(found) == 0 {
			t.Fatalf("no files match %s: %v", pattern, err)
		}
		slices.Sort(found)
		files = append(files, found...)
	}
	return files
}

// TestCheckOutputMatchesGoldenFile compares the output of check, for every scenario and example, with the golden file.
func TestCheckOutputMatchesGoldenFile(t *testing.T) {
	var text strings.Builder
	checkedFiles := matchingFiles(t, "../../scenarios/*.hcl", "../../scenarios/faulty/*.hcl", "../../scenarios/lib/*.hcl",
		"../../examples/*.hcl")
	for _, file := range checkedFiles {
		text.WriteString(transcript(t, "check", file))
	}
	expectGolden(t, "check.txt", text.String())
}

// faultyCommand returns the command that reads a faulty file. The first word of the file's name selects the command.
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

// TestErrorsForFaultyFilesMatchGoldenFile compares the errors reported for faulty files of each kind with the golden
// file. The files "types" give every setting a value of a wrong type. The files "unknown" give each block an unknown
// setting; the errors list the block's known settings.
func TestErrorsForFaultyFilesMatchGoldenFile(t *testing.T) {
	var text strings.Builder
	for _, file := range matchingFiles(t, "testdata/faulty/*") {
		output := transcript(t, faultyCommand(file)...)
		if !strings.Contains(output, "\nstatus 2\n") {
			t.Errorf("a faulty file is accepted:\n%s", output)
		}
		text.WriteString(output)
	}
	expectGolden(t, "faulty.txt", text.String())
}

// parse parses a command line without running it.
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
		t.Fatalf("%s has fewer than 2 lines", name)
	}
	return commands
}

// TestPublishedCommandLinesAreAccepted parses the published command lines in commands.txt without running
// them. A renamed command must keep its former name as an alias.
func TestPublishedCommandLinesAreAccepted(t *testing.T) {
	t.Setenv("LB_CONFIG", "")
	for _, line := range readCommands(t, "commands.txt") {
		if _, err := parse(t, strings.Fields(line)...); err != nil {
			t.Errorf("%s: %v", line, err)
		}
	}
	for _, line := range []string{"frobnicate", "version --frobnicate", "day run", "measure storm --rates x"} {
		if _, err := parse(t, strings.Fields(line)...); err == nil {
			t.Errorf("%s: the invalid command line is accepted", line)
		}
	}
}

// formerNames maps the new names of commands to their former names, which are aliases.
var formerNames = map[string]string{
	"serve":         "governor",
	"cluster":       "group",
	"remove-member": "strike",
	"scenario":      "day",
	"standin":       "stand",
	"proxy":         "forwarder",
	"benchmark":     "measure",
}

// TestRenamedCommandsMatchTheirFormerNames parses every renamed command with all its flags, by its new and by its
// former name. Both must be the same command with the same flags and values, and the command line with the former name
// must be in commands.txt.
func TestRenamedCommandsMatchTheirFormerNames(t *testing.T) {
	publishedLines := readCommands(t, "commands.txt")
	unusedNames := maps.Clone(formerNames)
	for _, line := range readCommands(t, "commands-renamed.txt") {
		t.Run(line, func(t *testing.T) {
			words := strings.Fields(line)
			formerLine := slices.Clone(words)
			for i, word := range words {
				if formerName, ok := formerNames[word]; ok {
					formerLine[i] = formerName
					delete(unusedNames, word)
				}
			}
			if !slices.Contains(publishedLines, strings.Join(formerLine, " ")) {
				t.Fatalf("%q is not in commands.txt", strings.Join(formerLine, " "))
			}
			renamedCommand, err := parse(t, words...)
			if err != nil {
				t.Fatal(err)
			}
			formerCommand, err := parse(t, formerLine...)
			if err != nil {
				t.Fatal(err)
			}
			if renamedCommand.Command() != formerCommand.Command() {
				t.Errorf("command %q by the new name, %q by the former name", renamedCommand.Command(), formerCommand.Command())
			}
			got, want := renamedCommand.Selected().Target.Interface(), formerCommand.Selected().Target.Interface()
			if !reflect.DeepEqual(got, want) {
				t.Errorf("parsed %+v by the new name, %+v by the former name", got, want)
			}
		})
	}
	if len(unusedNames) > 0 {
		t.Errorf("commands-renamed.txt has no line with these commands (new name: former name): %v", unusedNames)
	}
}

// TestFlagPropertiesMatchGoldenFile compares the properties of each flag in commands.txt, found by name or alias, with
// the golden file.
func TestFlagPropertiesMatchGoldenFile(t *testing.T) {
	var text strings.Builder
	for _, line := range readCommands(t, "commands.txt") {
		words := strings.Fields(line)
		parsed, err := parse(t, words...)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		for _, word := range words {
			if name, isFlag := strings.CutPrefix(word, "--"); isFlag {
				fmt.Fprintf(&text, "%s --%s: %s\n", commandName(words), name, flagProperties(t, parsed, name))
			}
		}
	}
	expectGolden(t, "flags.txt", text.String())
}

// commandName returns the words of a command line before the first flag. The line has at least one flag.
func commandName(words []string) string {
	end := slices.IndexFunc(words, func(word string) bool { return strings.HasPrefix(word, "-") })
	return strings.Join(words[:end], " ")
}

// flagProperties describes a flag: whether it is required, its default, allowed values, short name and environment.
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
	t.Errorf("the command has no flag --%s", name)
	return ""
}

// TestPlatformReadsFileNamedInEnvironment checks that LB_CONFIG names the platform's file.
func TestPlatformReadsFileNamedInEnvironment(t *testing.T) {
	t.Setenv("LB_CONFIG", "testdata/faulty/platform-seed.json")
	if output := transcript(t, "platform"); !strings.Contains(output, "platform-seed.json: seed: ") {
		t.Error(output)
	}
}
