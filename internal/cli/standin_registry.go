package cli

import (
	"context"
	"io"
	"os"
	"slices"
	"time"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/standin"
	"peppervale/internal/standin/registry"
)

// registryReloadInterval is the interval at which the registry's file is read again.
const registryReloadInterval = time.Second

// StandInRegistry is the command `peppervale standin registry`.
type StandInRegistry struct {
	Config string `help:"Configuration file of the stand-in registry (HCL)." required:"" type:"existingfile"`
}

// registrySettings is the content of a registry's file.
type registrySettings struct {
	listen  string
	service string
	entries []registry.Entry
	faults  registry.Faults
}

func readRegistry(top *config.Block) registrySettings {
	var settings registrySettings
	block := top.SingleBlock("registry", 0, true)
	settings.listen = block.Address("listen", true)
	settings.service = block.String("service", "")
	settings.faults = registry.Faults{
		RespondsNoLeader: block.Bool("fails", false),
		Silent:           block.Bool("silent", false),
		Delay:            block.Duration("late", 0, 0, maxStandInDuration),
	}
	block.RejectUnknown()
	for _, entryBlock := range top.Blocks("entry", 1) {
		settings.entries = append(settings.entries, readRegistryEntry(entryBlock))
	}
	return settings
}

func readRegistryEntry(block *config.Block) registry.Entry {
	id, err := pubsubmsg.ParseAddress(block.Labels[0])
	if err != nil {
		block.AddError("", "entry: %v", err)
	}
	entry := registry.Entry{
		ID:                 id,
		Zone:               block.String("zone", ""),
		DeduplicationGroup: block.String("bay", "bay"),
		Kind:               block.String("kind", "kind"),
		StartedAt:          model.Microseconds(block.Float("started_ms", 0, 0, 1e15)) * model.Millisecond,
		Draining:           block.Bool("draining", false),
	}
	block.RejectUnknown()
	return entry
}

// Run serves the endpoint list until the context is done. It reads the file again each second. If the file is invalid,
// Run leaves the list unchanged and reports the error on standard error, unless it equals the last reported error.
func (c *StandInRegistry) Run(ctx context.Context, out io.Writer) error {
	settings, err := openStandInFile(c.Config, readRegistry)
	if err != nil {
		return err
	}
	loop := standin.NewLoop(controller.NewClock())
	defer loop.Stop()
	var server *registry.Registry
	loop.Do(func() { server, err = registry.New(loop, settings.listen, settings.service, ignoreObservation) })
	if err != nil {
		return err
	}
	defer server.Close()
	printf(out, "registry %s lists %d of %s\n", server.Addr(), len(settings.entries), settings.service)
	updateRegistry(loop, server, nil, settings)
	listedEntries := settings.entries
	lastError := ""
	callPeriodically(ctx, registryReloadInterval, func() {
		next, err := openStandInFile(c.Config, readRegistry)
		if err != nil { // the file may be in the middle of an edit
			if err.Error() != lastError {
				lastError = err.Error()
				printf(os.Stderr, "%s\n", lastError)
			}
			return
		}
		updateRegistry(loop, server, listedEntries, next)
		listedEntries = next.entries
	})
	return nil
}

// updateRegistry sets the faults and entries of the registry to those in its file. It removes previously listed entries
// that are not in the file.
func updateRegistry(loop *standin.Loop, server *registry.Registry, listed []registry.Entry, settings registrySettings) {
	loop.Do(func() {
		server.Faults = settings.faults
		for _, previous := range listed {
			isListed := slices.ContainsFunc(settings.entries, func(e registry.Entry) bool { return e.ID == previous.ID })
			if !isListed {
				server.Remove(previous.ID)
			}
		}
		for _, entry := range settings.entries {
			server.Set(entry)
		}
	})
}
