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

// registryReloadInterval is how often the registry's file is read again.
const registryReloadInterval = time.Second

// StandInRegistry is peppervale standin registry.
type StandInRegistry struct {
	Config string `help:"The stand-in's file, HCL." required:"" type:"existingfile"`
}

// registrySettings is the file of a registry.
type registrySettings struct {
	listen  string
	service string
	entries []registry.Entry
	fault   registry.Faults
}

func readRegistry(top *config.Block) registrySettings {
	var settings registrySettings
	block := top.SingleBlock("registry", 0, true)
	settings.listen = block.Address("listen", true)
	settings.service = block.String("service", "")
	settings.fault = registry.Faults{
		Fails:  block.Bool("fails", false),
		Silent: block.Bool("silent", false),
		Delay:  block.Duration("late", 0, 0, maxStandInDuration),
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

// Run serves the list until the context is done. A file that cannot be read is reported on standard error, once for the
// same errors, and the list stays as it was.
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
	applySettings(loop, server, nil, settings)
	listed := settings.entries
	lastError := ""
	repeat(ctx, registryReloadInterval, func() {
		next, err := openStandInFile(c.Config, readRegistry)
		if err != nil { // the file may be half edited
			if err.Error() != lastError {
				lastError = err.Error()
				printf(os.Stderr, "%s\n", lastError)
			}
			return
		}
		applySettings(loop, server, listed, next)
		listed = next.entries
	})
	return nil
}

// applySettings has the registry list the entries of its file, and no longer those that were listed before and are not
// in the file.
func applySettings(loop *standin.Loop, server *registry.Registry, listed []registry.Entry, settings registrySettings) {
	loop.Do(func() {
		server.Faults = settings.fault
		for _, old := range listed {
			isListed := slices.ContainsFunc(settings.entries, func(e registry.Entry) bool { return e.ID == old.ID })
			if !isListed {
				server.Remove(old.ID)
			}
		}
		for _, entry := range settings.entries {
			server.Set(entry)
		}
	})
}
