package server

import (
	"context"
	"fmt"

	"github.com/rs/zerolog"

	"peppervale/internal/cluster"
	"peppervale/internal/config"
	"peppervale/internal/controller"
)

// Environment contains what the process provides to an instance. Every field is optional.
type Environment struct {
	Reload     <-chan struct{}                // requests a reload of the configuration
	LoadConfig func() (*config.Server, error) // loads the configuration; required with Reload
	LogLevel   *LevelFilter                   // set to the configured log level at a reload
	Links      cluster.Links                  // links between cluster members; tests interrupt them
}

// ListenError is returned when the address for proxies cannot be listened on.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("%v; another process may be listening on it", e.Err)
}

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Err }

// Serve runs one instance until the context is done. It then shuts down gracefully within the configured grace period
// and releases every component that it opened. It returns an error if the start fails: the balancer rejects the
// settings, the address cannot be opened (a *ListenError), or the state store, discovery, the cluster or the console
// fails. An error of closing a component is only logged.
func Serve(ctx context.Context, settings *config.Server, environment Environment, log zerolog.Logger) error {
	if err := controller.CheckConfig(settings.Balancer); err != nil {
		return err
	}
	inst := newInstance(settings, environment, log)
	err := inst.start()
	if err == nil {
		inst.runPeriodicTasks(ctx)
		inst.shutDown()
	}
	if closeErr := inst.close(); closeErr != nil {
		log.Error().Err(closeErr).Msg("closing the instance failed")
	}
	return err
}
