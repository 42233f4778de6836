package cli

import (
	"context"
	"io"

	"github.com/rs/zerolog"

	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/server"
)

// Serve is the command `peppervale serve`.
type Serve struct {
	Config string `help:"Configuration file of the instance (HCL)." required:"" type:"existingfile"`
	Pretty bool   `help:"Log for a terminal instead of JSON lines."`
}

// Run runs an instance until the context is done.
func (c *Serve) Run(ctx context.Context, out io.Writer) error {
	settings, err := config.LoadServer(c.Config)
	if err != nil {
		return fileError(err)
	}
	if err := controller.CheckConfig(settings.Balancer); err != nil {
		return NewInputError(err)
	}
	if c.Pretty {
		out = zerolog.ConsoleWriter{Out: out}
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log, level, err := server.NewLogger(out, settings.LogLevel)
	if err != nil {
		return NewInputError(err)
	}
	return server.Serve(ctx, settings, server.Environment{
		Reload:     reloadRequests(ctx),
		LogLevel:   level,
		LoadConfig: func() (*config.Server, error) { return config.LoadServer(c.Config) },
	}, log)
}
