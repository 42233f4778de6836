package cli

import (
	"context"
	"io"
	"net/url"
	"strings"

	"peppervale/internal/console/comparison"
	"peppervale/internal/controller"
)

// maxConsoles is the maximum number of instances that are shown side by side.
const maxConsoles = 64

// Console is the command `peppervale console`.
type Console struct {
	Instances []string `name:"governors" help:"Addresses of the instances' consoles, host:port or URL." required:""`
	Listen    string   `help:"Address to serve the pages at, host:port." default:"127.0.0.1:7790"`
}

// Run serves the pages until the context is done.
func (c *Console) Run(ctx context.Context, out io.Writer) error {
	if len(c.Instances) > maxConsoles {
		return inputErrorf("--governors: %d addresses; the maximum is %d", len(c.Instances), maxConsoles)
	}
	for _, address := range c.Instances {
		if !isConsoleAddress(address) {
			return inputErrorf("--governors: %q is not host:port or a URL (127.0.0.1:7780, http://127.0.0.1:7780)",
				address)
		}
	}
	server, err := comparison.Listen(c.Listen, c.Instances, controller.NewClock())
	if err != nil {
		return err
	}
	defer server.Close()
	printf(out, "console of %d governors: http://%s\n", len(c.Instances), server.Addr())
	<-ctx.Done()
	return nil
}

// isConsoleAddress reports whether a text looks like host:port or a URL with a host.
func isConsoleAddress(text string) bool {
	if !strings.Contains(text, "://") {
		return strings.Contains(text, ":")
	}
	parsed, err := url.Parse(text)
	return err == nil && parsed.Host != ""
}
