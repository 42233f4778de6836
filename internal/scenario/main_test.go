package scenario

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"peppervale/internal/config"
	"peppervale/internal/server"
)

const (
	instanceCommand = "governor"
	zoneLossFile    = "zone-lost.hcl"
	shardedFile     = "takeover.hcl"
)

// lostZone is the zone that is lost in the scenario of zoneLossFile.
const lostZone = "partick"

// The zones of the instances in most tests.
var (
	twoInstanceZones = []string{"govan", lostZone}
	oneInstanceZones = twoInstanceZones[:1]
)

// TestMain runs the tests. Started with "governor --config FILE", the test binary runs an instance instead.
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == instanceCommand {
		if err := serveInstance(os.Args[3]); err != nil {
			_, _ = os.Stderr.WriteString(err.Error())
			os.Exit(1)
		}
		return
	}
	goleak.VerifyTestMain(m)
}

func serveInstance(configPath string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	settings, err := config.LoadServer(configPath)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	return server.Serve(ctx, settings, server.Environment{}, log)
}

// instanceProgram returns the command that runs an instance.
func instanceProgram() []string { return []string{os.Args[0], instanceCommand} }

// scenarioPath returns the path of one of the repository's scenario files.
func scenarioPath(name string) string { return filepath.Join("..", "..", "scenarios", name) }

func openScript(t *testing.T, name string) *Script {
	t.Helper()
	script, err := Open(scenarioPath(name))
	if err != nil {
		t.Fatal(err)
	}
	return script
}

// runScript runs a scenario to its end.
func runScript(t *testing.T, script *Script) *Report {
	t.Helper()
	options := Options{Program: instanceProgram(), Directory: t.TempDir()}
	report, err := Run(context.Background(), script, options)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// runSteps runs a short scenario with the given steps and requires that every invariant holds.
func runSteps(t *testing.T, length float64, instanceZones []string, rate float64, steps ...Step) *Report {
	t.Helper()
	script := openScript(t, zoneLossFile)
	script.Name = t.Name()
	script.Length = seconds(length)
	script.InstanceZones = instanceZones
	script.Load.Rate = rate
	script.Steps = steps
	report := runScript(t, script)
	requireInvariants(t, report)
	return report
}

// runSharded runs a short scenario with three instances that share the zones, and requires that every invariant holds
// and that each proxy is bound at the end.
func runSharded(t *testing.T, length float64, steps ...Step) *Report {
	t.Helper()
	script := openScript(t, shardedFile)
	script.Name = t.Name()
	script.Length = seconds(length)
	script.Load.Rate = 60
	script.Steps = steps
	script.Sharding.StabilizationPeriod = seconds(1)
	script.Sharding.MoveInterval = seconds(0.2)
	report := runScript(t, script)
	requireInvariants(t, report)
	if report.Channel.Bound != report.Proxies {
		t.Errorf("%d of %d proxies are bound at the end, want all", report.Channel.Bound, report.Proxies)
	}
	return report
}

// requireInvariants requires that a scenario violated no invariant, that no replica failed from overload, and that a
// proxy is bound at the end.
func requireInvariants(t *testing.T, report *Report) {
	t.Helper()
	var text bytes.Buffer
	report.Print(&text)
	if report.Violated() || report.OverloadedReplicas > 0 {
		t.Errorf("an invariant was violated or a replica failed from overload:\n%s", text.String())
	}
	if report.Channel.Bound == 0 {
		t.Errorf("no proxy is bound at the end:\n%s", text.String())
	}
}

// writerFunc is a writer that calls the function.
type writerFunc func([]byte)

func (w writerFunc) Write(data []byte) (int, error) {
	w(data)
	return len(data), nil
}
