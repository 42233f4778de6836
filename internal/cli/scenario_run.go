package cli

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"peppervale/internal/scenario"
)

// ScenarioRun is the command `peppervale scenario run`.
type ScenarioRun struct {
	File      string `arg:"" help:"The scenario's script." type:"existingfile"`
	JSON      bool   `name:"json" help:"Write the report as JSON."`
	Directory string `name:"folder" help:"Keep the instances' files and logs in this directory." type:"path"`
	Quiet     bool   `help:"Report no progress."`
}

// Run runs a scenario and writes its report. It returns ErrInvariantViolated if an invariant was violated.
func (c *ScenarioRun) Run(ctx context.Context, out io.Writer) error {
	script, err := scenario.Open(c.File)
	if err != nil {
		return fileError(err)
	}
	program, err := childCommand("serve")
	if err != nil {
		return err
	}
	options := scenario.Options{Program: program, Directory: c.Directory}
	if !c.Quiet {
		options.Progress = os.Stderr
	}
	report, err := scenario.Run(ctx, script, options)
	if err != nil {
		return err
	}
	if err := c.writeReport(out, report); err != nil {
		return err
	}
	if report.Violated() {
		return ErrInvariantViolated
	}
	return nil
}

func (c *ScenarioRun) writeReport(out io.Writer, report *scenario.Report) error {
	if !c.JSON {
		report.Print(out)
		return nil
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
