package scenario

import (
	"fmt"
	"slices"

	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
	"peppervale/internal/standin/replica"
)

const (
	proxyConnectTimeout     = 250 * model.Millisecond
	proxyIdleTimeout        = 15 * model.Second
	minStandingZoneReplicas = 3 // with fewer replicas in its zone, a proxy's standing table is drawn from all replicas
)

// managedReplica is a stand-in replica with its entry in the registry.
type managedReplica struct {
	*replica.Replica
	entry      registry.Entry
	faultCount int // number of faults that have affected the replica; the end of a fault is skipped if a later one began
}

// managedProxy is a stand-in proxy and the request rate of its clients.
type managedProxy struct {
	*proxy.Proxy
	zone        int
	requestRate float64 // requests per second
}

func (r *runner) addRegistry() error {
	var err error
	r.registry, err = registry.New(r.loop, r.network.registryAddress(0), serviceName, r.observe)
	return err
}

func (r *runner) addReplicas() error {
	for zone := range r.script.Zones {
		for k := range r.script.Replicas.PerZone {
			if err := r.addReplica(zone, k, false); err != nil {
				return err
			}
		}
	}
	return nil
}

// addReplica starts a replica. A warm replica is registered immediately, a cold one after the registry's AddDelay.
func (r *runner) addReplica(zone, index int, cold bool) error {
	settings := r.replicaSettings(zone, index)
	if r.deduplicationGroups[settings.DeduplicationGroup] == nil {
		r.deduplicationGroups[settings.DeduplicationGroup] = replica.NewDeduplicationGroup()
	}
	deduplicationWindows := make([]model.Microseconds, len(r.script.Operations))
	for i, operation := range r.script.Operations {
		deduplicationWindows[i] = operation.IdempotencyWindow
	}
	newReplica := &managedReplica{
		Replica: replica.New(
			r.loop, settings, r.deduplicationGroups[settings.DeduplicationGroup], deduplicationWindows, r.observe),
		entry: registry.Entry{
			ID:                 settings.ID,
			Zone:               settings.Zone,
			DeduplicationGroup: settings.DeduplicationGroup,
			Kind:               fmt.Sprintf("%d-core", settings.Cores),
		},
	}
	r.replicas = append(r.replicas, newReplica)
	if err := newReplica.Start(cold); err != nil {
		return err
	}
	newReplica.entry.StartedAt = newReplica.StartedAt
	if cold {
		r.register(newReplica, r.script.Registry.AddDelay)
	} else {
		r.registry.Set(newReplica.entry)
	}
	return nil
}

// replicaSettings returns the settings of a replica, with a randomly drawn speed.
func (r *runner) replicaSettings(zone, index int) replica.Config {
	commonSettings := r.script.Replicas
	return replica.Config{
		ID:                 r.network.replicaID(zone, index),
		Zone:               r.script.Zones[zone],
		DeduplicationGroup: fmt.Sprintf("%s-%d", r.script.Zones[zone], index/commonSettings.DeduplicationGroupSize),
		Cores:              commonSettings.Cores,
		Speed:              r.random.Between(commonSettings.MinSpeed, commonSettings.MaxSpeed),
		QueueLimit:         commonSettings.QueueLimit,
		MaxConnections:     commonSettings.MaxConnections,
		InitialShare:       commonSettings.InitialShare,
		WarmUpPeriod:       commonSettings.WarmUpPeriod,
		ReportInterval:     commonSettings.ReportInterval,
		HandshakeWork:      float64(commonSettings.HandshakeWork),
		OverloadFactor:     r.script.Guarantees.OverloadFactor,
		OverloadWindow:     r.script.Guarantees.OverloadDuration,
	}
}

// register adds a replica to the registry after a delay, with its drain state at that time. It does nothing if the
// process has ended or restarted by then.
func (r *runner) register(target *managedReplica, delay model.Microseconds) {
	incarnation := target.StartedAt
	r.loop.After(delay, func() {
		if target.Running && target.StartedAt == incarnation {
			target.entry.StartedAt = target.StartedAt
			target.entry.Draining = target.Draining
			r.registry.Set(target.entry)
		}
	})
}

// deregister removes a replica from the registry after a delay unless the replica answers requests again by then.
func (r *runner) deregister(target *managedReplica, delay model.Microseconds) {
	r.loop.After(delay, func() {
		if !target.Running || target.Silent {
			r.registry.Remove(target.ID)
		}
	})
}

// addProxies draws the proxies' request rates and creates the proxies without starting them.
func (r *runner) addProxies() {
	zoneCount := len(r.script.Zones)
	rateFactors := make([]float64, r.script.Proxies.PerZone*zoneCount)
	totalRateFactor := 0.0
	for i := range rateFactors {
		rateFactors[i] = r.random.LogNormal(r.script.Proxies.RateSpread)
		totalRateFactor += rateFactors[i]
	}
	operations := r.proxyOperations()
	for i, rateFactor := range rateFactors {
		rate := r.script.Load.Rate * rateFactor / totalRateFactor
		settings := r.proxySettings(i, rate, operations)
		r.proxies = append(r.proxies, &managedProxy{
			Proxy:       proxy.New(r.loop, r.engine, settings, r.script.Seed, r.observe),
			zone:        settings.ZoneIndex,
			requestRate: rate,
		})
	}
}

func (r *runner) proxyOperations() []proxy.Operation {
	var operations []proxy.Operation
	for _, operation := range r.script.Operations {
		operations = append(operations, proxy.Operation{
			LatencyObjective: operation.LatencyObjective,
			Timeout:          operation.Timeout,
		})
	}
	return operations
}

func (r *runner) proxySettings(index int, rate float64, operations []proxy.Operation) proxy.Config {
	commonSettings := r.script.Proxies
	zone := index % len(r.script.Zones)
	return proxy.Config{
		Name:                  fmt.Sprintf("%s-till-%d", r.script.Zones[zone], index/len(r.script.Zones)+1),
		Zone:                  r.script.Zones[zone],
		ZoneIndex:             zone,
		ExpectedRate:          rate,
		Pick:                  proxy.Pick(commonSettings.Pick),
		Operations:            operations,
		DefaultRetryPolicy:    r.script.Guarantees.DefaultRetryPolicy,
		RetryableAttemptShare: r.script.Guarantees.FirstAttemptFraction,
		EjectAfter:            commonSettings.EjectAfter,
		EjectFor:              commonSettings.EjectFor,
		RedialInterval:        commonSettings.RedialInterval,
		DialTimeout:           proxyConnectTimeout,
		IdleTimeout:           proxyIdleTimeout,
		StallPerEntry:         commonSettings.StallPerEntry,
	}
}

// instanceAddresses returns the instances that a proxy connects to, instances of its own zone first. The order is
// rotated by the proxy's index.
func (r *runner) instanceAddresses(target *managedProxy, proxyIndex int) []proxy.Instance {
	if r.faultyController != nil {
		return []proxy.Instance{{Name: faultyControllerName, Address: r.faultyController.server.Addr()}}
	}
	zone := r.script.Zones[target.zone]
	var local, remote []proxy.Instance
	for k := range r.instances {
		candidate := r.instances[(proxyIndex+k)%len(r.instances)]
		address := proxy.Instance{Name: candidate.name, Address: candidate.address}
		if candidate.zone == zone {
			local = append(local, address)
		} else {
			remote = append(remote, address)
		}
	}
	return append(local, remote...)
}

// standingTable draws a proxy's standing table, from the replicas of its zone if there are enough.
func (r *runner) standingTable(target *managedProxy) []invariants.TableEntry {
	candidates := r.standingCandidates(r.script.Zones[target.zone])
	var entries []invariants.TableEntry
	for len(entries) < r.script.Balancer.StandingTableSize && len(candidates) > 0 {
		k := r.random.IntN(len(candidates))
		entries = append(entries, invariants.TableEntry{Replica: candidates[k].ID, Weight: 1})
		candidates = slices.Delete(candidates, k, k+1)
	}
	return entries
}

// standingCandidates returns the replicas that a standing table may contain.
func (r *runner) standingCandidates(zone string) []*managedReplica {
	var local, all []*managedReplica
	for _, candidate := range r.replicas {
		if !candidate.Running || candidate.Draining {
			continue
		}
		all = append(all, candidate)
		if candidate.Zone == zone {
			local = append(local, candidate)
		}
	}
	if len(local) < minStandingZoneReplicas {
		return all
	}
	return local
}
