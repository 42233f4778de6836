package command

import (
	"context"
	"fmt"
	"io"

	"github.com/rs/zerolog"

	"peppervale/daemon"
	"peppervale/site"
)

// Platform is peppervale platform.
type Platform struct {
	Config string `help:"The platform's file, JSON." env:"LB_CONFIG" required:""`
	Log    string `help:"Least level of the log." default:"info" enum:"debug,info,warn,error"`
}

// Run is the command.
func (c *Platform) Run(ctx context.Context, out io.Writer) error {
	reload := reloads(ctx) // before anything else: one that comes early must not end the process
	p, err := site.OpenPlatform(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInput, err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log, _, err := daemon.NewLog(out, c.Log)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInput, err)
	}
	return daemon.ServePlatform(ctx, p, daemon.PlatformOutside{Reload: reload,
		Read: func() (*site.Platform, error) { return site.OpenPlatform(c.Config) }}, log)
}
