package cli

import (
	"io"
	"path/filepath"

	"peppervale/internal/model"
	"peppervale/internal/scenario"
)

// ScenarioList is the command `peppervale scenario list`.
type ScenarioList struct {
	Directory string `arg:"" name:"folder" optional:"" default:"scenarios" help:"Directory of the scripts." type:"path"`
}

// Run lists each script with its length and its description.
func (c *ScenarioList) Run(out io.Writer) error {
	files, err := filepath.Glob(filepath.Join(c.Directory, "*.hcl"))
	if err != nil || len(files) == 0 {
		return inputErrorf("no scenario scripts (*.hcl) in %s", c.Directory)
	}
	for _, file := range files {
		listScenario(out, file)
	}
	return nil
}

// listScenario writes one line about a script. For an invalid script, the line shows the error.
func listScenario(out io.Writer, file string) {
	script, err := scenario.Open(file)
	if err != nil {
		printf(out, "%-32s cannot be used: %v\n", filepath.Base(file), err)
		return
	}
	seconds := float64(script.Length) / float64(model.Second)
	printf(out, "%-32s %3.0f s  %s\n", filepath.Base(file), seconds, script.About)
}
