package balancer_test

import (
	"fmt"

	"peppervale/internal/model"
)

// updateEndpoints delivers replicas as an endpoint update. Replicas that are gone are named in ChangedEntries only.
func (tr *trace) updateEndpoints(name string, update model.EndpointUpdate, replicas []*tracedReplica) {
	var endpoints []model.Endpoint
	for _, r := range replicas {
		if update == model.ChangedEntries || r.status != model.EndpointGone {
			endpoints = append(endpoints, model.Endpoint{
				ID: r.id, Zone: r.zone, Status: r.status, StartedAt: r.startedAt,
			})
		}
	}
	tr.step(fmt.Sprintf("list %s %d", name, len(endpoints)), func() {
		tr.balancer.EndpointsChanged(tr.now, update, endpoints)
	})
}

// updateStatus sets the status of some replicas and delivers it as an endpoint update. If restarted is set, the
// replicas have started within the last two seconds and no longer fail.
func (tr *trace) updateStatus(name string, status model.EndpointStatus, restarted bool, replicas ...*tracedReplica) {
	for _, r := range replicas {
		r.status = status
		if restarted {
			age := model.Microseconds(tr.random.Int64N(int64(2 * model.Second)))
			r.startedAt = tr.now - age
			r.isFailing = false
			r.isSilent = false
		}
	}
	tr.updateEndpoints(name, model.ChangedEntries, replicas)
}

func (tr *trace) randomReplica() *tracedReplica { return tr.replicas[tr.random.IntN(len(tr.replicas))] }

func (tr *trace) happens(chance float64) bool { return tr.random.Float64() < chance }

// churnReplicas delivers random changes of the endpoint list.
func (tr *trace) churnReplicas() {
	chances := tr.plan.churn
	if tr.happens(chances.drain) {
		tr.updateStatus("drain", model.EndpointDraining, false, tr.randomReplica())
	}
	if tr.happens(chances.removed) {
		tr.updateStatus("gone", model.EndpointGone, false, tr.randomReplica())
	}
	if tr.happens(chances.restarted) {
		tr.updateStatus("restart", model.EndpointReady, true, tr.randomReplica())
	}
	if tr.happens(chances.readyAgain) {
		tr.updateStatus("ready", model.EndpointReady, false, tr.randomReplica())
	}
	if tr.happens(chances.fullList) {
		tr.updateEndpoints("complete", model.FullList, tr.replicas)
	}
	if tr.happens(chances.cachedList) {
		tr.updateEndpoints("cached", model.CachedList, tr.replicas[:len(tr.replicas)-1])
	}
	if tr.happens(chances.failedPoll) {
		tr.updateEndpoints("failed", model.PollFailed, nil)
	}
	tr.churnFaults()
}

// churnFaults makes random replicas fail or recover, which the endpoint list does not show.
func (tr *trace) churnFaults() {
	chances := tr.plan.churn
	if r := tr.randomReplica(); tr.happens(chances.startFailing) {
		r.isFailing = tr.happens(0.5)
		r.isSilent = !r.isFailing
	}
	if r := tr.randomReplica(); tr.happens(chances.recover) {
		r.isFailing = false
		r.isSilent = false
	}
}

func (tr *trace) churnProxies() {
	p := tr.proxies[tr.random.IntN(len(tr.proxies))]
	if tr.happens(tr.plan.churn.connect) {
		tr.connect(p) // also if an earlier stream is still connected
	}
	p = tr.proxies[tr.random.IntN(len(tr.proxies))]
	if tr.happens(tr.plan.churn.disconnect) {
		tr.disconnect(p)
	}
}

func (tr *trace) connect(proxies ...*tracedProxy) {
	tr.step(fmt.Sprintf("join %d from %d", len(proxies), int(proxies[0].id)), func() {
		for _, p := range proxies {
			expectedRate := tr.plan.expectedRate * (0.5 + tr.random.Float64())
			tr.recordEvent("join %d %d %s", int(p.id), p.zone, bits(expectedRate))
			p.connected = true
			tr.balancer.ProxyConnected(tr.now, p.id, p.zone, expectedRate)
		}
	})
}

func (tr *trace) disconnect(proxies ...*tracedProxy) {
	tr.step(fmt.Sprintf("leave %d from %d", len(proxies), int(proxies[0].id)), func() {
		for _, p := range proxies {
			tr.recordEvent("leave %d", int(p.id))
			p.connected = false
			tr.balancer.ProxyDisconnected(tr.now, p.id)
		}
	})
}

// deliverReports delivers load reports of each replica from each zone; some of them are contradictory.
func (tr *trace) deliverReports() {
	load := tr.plan.load(tr.tick)
	tr.step("reports", func() {
		for _, r := range tr.replicas {
			for zone := range tr.plan.config.Zones {
				if r.status != model.EndpointGone && !r.isSilent && tr.happens(0.95) {
					tr.loadReported(tr.loadReport(r, zone, load))
				}
			}
		}
	})
}

func (tr *trace) loadReported(report model.LoadReport) {
	tr.recordEvent("report %s %d %d %d %d %d", replicaText(report.Replica), report.Zone, report.Attempts, report.Errors,
		int64(report.MeanLatency), int64(report.Window))
	tr.balancer.LoadReported(tr.now, report)
}

// loadReport returns a load report of a replica; load is the mean latency of the fleet divided by the objective.
func (tr *trace) loadReport(r *tracedReplica, zone int, load float64) model.LoadReport {
	objective := float64(tr.plan.config.Operations[0].LatencyObjective)
	attempts := 1 + tr.random.IntN(2*tr.plan.attempts)
	report := model.LoadReport{Zone: zone, Replica: r.id, Attempts: attempts, Window: model.Second}
	report.MeanLatency = model.Microseconds(objective * load * r.slowness * (0.8 + float64(0.4*tr.random.Float64())))
	report.Errors = min(attempts, int(float64(attempts)*load*load*0.3*tr.random.Float64()))
	report.Readings = []float64{tr.random.Float64(), min(1.2, load*(0.8+float64(0.4*tr.random.Float64())))}
	if r.isFailing {
		report.Errors = attempts
		report.MeanLatency = 0
	}
	if tr.happens(tr.plan.churn.contradictory) {
		tr.makeContradictory(&report)
	}
	return report
}

// makeContradictory changes a report so that the balancer drops it or ignores its utilization.
func (tr *trace) makeContradictory(report *model.LoadReport) {
	switch tr.random.IntN(7) {
	case 0:
		report.Attempts = 0
	case 1:
		report.Errors = report.Attempts + 1
	case 2:
		report.MeanLatency = -1
	case 3:
		report.Window = 0
	case 4:
		report.Replica = model.ReplicaID{Addr: [4]byte{192, 0, 2, 1}, Port: 1}
	case 5:
		report.Readings = report.Readings[:1]
	default:
		report.Readings[1] = -0.5
	}
}
