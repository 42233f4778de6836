package cli

import (
	"fmt"
	"io"
	"runtime/debug"
)

// Version is the command `peppervale version`.
type Version struct{}

// Run prints the version and the revision of the source.
func (Version) Run(out io.Writer) error {
	_, err := fmt.Fprintf(out, "peppervale 0.1.0-dev, revision %s\n", revision())
	return err
}

// revision returns the commit that the program was built from, or "unknown" if the build did not record it.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown"
}
