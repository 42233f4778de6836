package scenario

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"peppervale/internal/standin"
)

func TestInvariantsHoldDuringFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("each scenario on sockets takes seconds")
	}
	for _, tt := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"a zone is lost with its proxies and instance and restarts cold", runZoneLoss},
		{"the only instance is killed under load", runOnlyInstanceKilled},
		{"all streams break at once, repeatedly", runAllStreamsBroken},
		{"all replicas drain but a warm one in another zone", runAllButOneDrained},
		{"the registry fails in several ways while replicas drain", runRegistryFaults},
		{"an instance restarts twenty times at random times", runTwentyRestarts},
		{"proxies stall or never acknowledge while replicas drain", runStalledProxies},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.run(t)
		})
	}
}

func runZoneLoss(t *testing.T) {
	runSteps(t, 22, twoInstanceZones, 100,
		Step{Kind: ZoneLoss, At: seconds(6), Duration: seconds(5), Zone: lostZone})
}

func runOnlyInstanceKilled(t *testing.T) {
	report := runSteps(t, 18, oneInstanceZones, 100,
		Step{Kind: InstanceCrash, At: seconds(6), Duration: seconds(2), Fraction: 1},
		Step{Kind: Drain, At: seconds(7), Duration: seconds(8), Fraction: 0.2})
	if report.Channel.Joins < 80 {
		t.Errorf("%d joins, want at least 80: not every proxy joined again", report.Channel.Joins)
	}
}

func runAllStreamsBroken(t *testing.T) {
	report := runSteps(t, 15, twoInstanceZones, 100,
		Step{Kind: ProxyReconnect, At: seconds(5), Fraction: 1},
		Step{Kind: ProxyReconnect, At: seconds(5.05), Fraction: 1},
		Step{Kind: ProxyReconnect, At: seconds(8), Fraction: 1},
		Step{Kind: Drain, At: seconds(8), Duration: seconds(5), Fraction: 0.2})
	if report.Channel.Bound != 40 || report.Channel.Joins < 120 {
		t.Errorf("%d proxies bound after %d joins, want 40 after at least 120", report.Channel.Bound, report.Channel.Joins)
	}
}

func runAllButOneDrained(t *testing.T) {
	runSteps(t, 18, twoInstanceZones, 15,
		Step{Kind: Drain, At: seconds(5), Duration: seconds(7), Group: groupAllButOne})
}

func runRegistryFaults(t *testing.T) {
	runSteps(t, 22, twoInstanceZones, 100,
		Step{Kind: RegistryFails, At: seconds(4), Duration: seconds(3)},
		Step{Kind: Drain, At: seconds(6), Duration: seconds(9), Fraction: 0.2},
		Step{Kind: RegistryTruncates, At: seconds(8), Duration: seconds(2)},
		Step{Kind: RegistryIndexBack, At: seconds(11), Duration: seconds(2)},
		Step{Kind: RegistrySilent, At: seconds(14), Duration: seconds(2)},
		Step{Kind: LoadReportsLate, At: seconds(5), Duration: seconds(12), Size: 2})
}

func runTwentyRestarts(t *testing.T) {
	kinds := []StepKind{InstanceCrash, InstanceRoll}
	random := standin.NewRandom(3, "restarts")
	var steps []Step
	for at := 4.0; len(steps) < 20; at += random.Between(0.5, 1.5) {
		steps = append(steps, Step{
			Kind:     kinds[len(steps)%2],
			At:       seconds(at),
			Duration: seconds(random.Between(0.05, 0.4)),
			Fraction: 0.5,
		})
	}
	report := runSteps(t, 32, twoInstanceZones, 60, steps...)
	if report.Channel.Bound != 40 {
		t.Errorf("%d proxies bound at the end, want 40", report.Channel.Bound)
	}
}

func runStalledProxies(t *testing.T) {
	runSteps(t, 16, twoInstanceZones, 100,
		Step{Kind: ProxyStall, At: seconds(4), Fraction: 0.2, Size: 1, Number: 4},
		Step{Kind: NeverAcknowledge, At: seconds(4), Duration: seconds(8), Fraction: 0.1},
		Step{Kind: Drain, At: seconds(6), Duration: seconds(6), Fraction: 0.2})
}

// When an instance is killed, the other instances take over its proxies and return them after its restart.
func TestProxiesAreTakenOverWhenAShardedInstanceIsKilledTwice(t *testing.T) {
	report := runSharded(t, 15,
		Step{Kind: InstanceCrash, At: seconds(4), Duration: seconds(2.5), Fraction: 0.34, Number: 2, Size: 5})
	if report.Channel.Joins < 60 {
		t.Errorf("%d joins of 40 proxies, want at least 60: too few proxies were taken over", report.Channel.Joins)
	}
}

// An instance that is suspended for longer than the lease duration continues to publish when it is resumed. Its leases
// have expired by then, so no proxy may apply its messages.
func TestProxiesIgnoreAnInstanceSuspendedLongerThanItsLease(t *testing.T) {
	runSharded(t, 14, Step{Kind: InstanceStall, At: seconds(4), Duration: seconds(5), Fraction: 0.34})
}

// Proxies keep using their current tables until the cluster has restarted.
func TestServiceContinuesWhileAllShardedInstancesAreDown(t *testing.T) {
	report := runSharded(t, 14, Step{Kind: InstanceCrash, At: seconds(4), Duration: seconds(4), Fraction: 1})
	if report.Service < 0.9 {
		t.Errorf("service %.3f, want at least 0.9", report.Service)
	}
}

// The check in TestMain detects goroutines that a canceled scenario leaves running.
func TestRunStopsEverythingWhenCanceled(t *testing.T) {
	script := openScript(t, zoneLossFile)
	script.Steps = []Step{{Kind: ProxyReconnect, At: seconds(1), Fraction: 1}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	progress := writerFunc(func(line []byte) {
		if bytes.Contains(line, []byte(ProxyReconnect)) {
			cancel()
		}
	})
	_, err := Run(ctx, script, Options{Program: instanceProgram(), Progress: progress})
	if !errors.Is(err, context.Canceled) || !strings.Contains(err.Error(), "stopped before its end") {
		t.Fatal(err)
	}
}
