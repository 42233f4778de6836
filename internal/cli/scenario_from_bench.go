package cli

import (
	"io"
	"os"

	"peppervale/internal/scenario"
)

// ScenarioFromBench is the command `peppervale scenario from-bench`.
type ScenarioFromBench struct {
	File    string `arg:"" help:"Scenario file of the operators' simulator (JSON)." type:"existingfile"`
	Out     string `short:"o" required:"" help:"The script to write." type:"path"`
	Proxies int    `name:"forwarders" help:"Maximum number of proxies; other sizes are scaled in proportion." default:"60"`
}

// Run writes the script, and prints a note for each part of the scenario that could not be converted exactly.
func (c *ScenarioFromBench) Run(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return NewInputError(err)
	}
	script, notes, err := scenario.ImportSimulatorScenario(text, c.Proxies)
	if err != nil {
		return inputErrorf("%s: %w", c.File, err)
	}
	if _, err := scenario.Parse(c.Out, script); err != nil {
		return inputErrorf("the script converted from the simulator scenario is invalid:\n%w", err)
	}
	if err := os.WriteFile(c.Out, script, 0o644); err != nil {
		return err
	}
	for _, note := range notes {
		printf(out, "note: %s\n", note)
	}
	return nil
}
