package cli

import (
	"io"
	"os"
	"strings"

	"peppervale/internal/config"
	"peppervale/internal/scenario"
)

// Check is the command `peppervale check`.
type Check struct {
	File string `arg:"" help:"An instance's or a scenario's file." type:"existingfile"`
}

// Run reads a file and reports whether it is valid.
func (c *Check) Run(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return NewInputError(err)
	}
	kind := "a governor's file"
	if isScenario(text) {
		kind = "a day"
		_, err = scenario.Open(c.File)
	} else {
		_, err = config.LoadServer(c.File)
	}
	if err != nil {
		return fileError(err)
	}
	printf(out, "%s: %s, no fault found\n", c.File, kind)
	return nil
}

// isScenario reports whether the text of a file is that of a scenario: it contains a day block.
func isScenario(text []byte) bool {
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "day ") {
			return true
		}
	}
	return false
}
