package cli

import (
	"io"
	"os"

	"peppervale/internal/scenario"
)

// ScenarioFromBench is peppervale scenario from-bench.
type ScenarioFromBench struct {
	File    string `arg:"" help:"The bench's scenario, JSON." type:"existingfile"`
	Out     string `short:"o" required:"" help:"The script to write." type:"path"`
	Proxies int    `name:"forwarders" help:"Proxies at most; the rest shrinks in proportion." default:"60"`
}

// Run writes the script, and a note for each thing that could not be carried over as it was.
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
		return inputErrorf("the day cannot be carried over:\n%w", err)
	}
	if err := os.WriteFile(c.Out, script, 0o644); err != nil {
		return err
	}
	for _, note := range notes {
		printf(out, "note: %s\n", note)
	}
	return nil
}
