package scenario

import (
	"peppervale/internal/config"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
)

// invariantLimits returns the limits that the invariants are checked against.
func (s *Script) invariantLimits() invariants.Limits {
	limits := invariants.Limits{
		Zones:          s.Zones,
		MaxEmptyTime:   s.Guarantees.MaxTimeWithoutReplica,
		DrainGrace:     s.Guarantees.DrainGracePeriod,
		WarmUpPeriod:   s.Guarantees.WarmUpPeriod,
		OverloadFactor: s.Guarantees.OverloadFactor,
		OverloadWindow: s.Guarantees.OverloadDuration,
		QueueLimit:     s.Guarantees.QueueLimit,
		MessageLimit:   s.Guarantees.MessageLimit,
		MessageWindow:  s.Guarantees.MessageWindow,
	}
	effects := map[config.Effect]invariants.Effect{
		config.Idempotent:        invariants.Idempotent,
		config.IdempotentWithKey: invariants.IdempotencyKeyed,
		config.SideEffecting:     invariants.SideEffecting,
	}
	for _, operation := range s.Operations {
		limits.Operations = append(limits.Operations, invariants.Operation{
			Name:                operation.Name,
			Effect:              effects[operation.Effect],
			DeduplicationWindow: operation.IdempotencyWindow,
		})
	}
	return limits
}

// buildReport returns the report of the scenario.
func (r *runner) buildReport(verdicts []invariants.Result) *Report {
	report := &Report{
		Scenario:   r.script.Name,
		Seconds:    float64(r.script.Length) / float64(model.Second),
		Proxies:    len(r.proxies),
		Replicas:   len(r.replicas),
		Instances:  r.instanceCount(),
		Operations: r.statistics.operationReports(),
		Attempts:   r.attemptReport(),
		Channel:    r.channelReport(),
		Invariants: verdicts,
	}
	report.Service, report.WorstService = r.statistics.serviceLevel()
	for _, candidate := range r.replicas {
		if candidate.Overloaded {
			report.OverloadedReplicas++
		}
	}
	return report
}

// channelReport sums the proxies' channel statistics.
func (r *runner) channelReport() ChannelReport {
	var report ChannelReport
	for _, proxy := range r.proxies {
		report.Messages += proxy.Messages
		report.Entries += proxy.EntriesReceived
		report.Bytes += proxy.Bytes
		report.Joins += proxy.Joins
		report.Resyncs += proxy.Resyncs
		if proxy.JoinedInstance() != "" && proxy.Bound() {
			report.Bound++
		}
	}
	return report
}

// attemptReport counts the observed attempts by outcome.
func (r *runner) attemptReport() AttemptReport {
	replicaZones := map[model.ReplicaID]string{}
	for _, replica := range r.replicas {
		replicaZones[replica.ID] = replica.Zone
	}
	proxyZones := map[string]string{}
	for _, proxy := range r.proxies {
		proxyZones[proxy.Name] = proxy.Zone
	}
	var report AttemptReport
	for _, observation := range r.observations {
		switch event := observation.(type) {
		case invariants.AttemptStarted:
			report.Sent++
			if event.Attempt > 1 {
				report.Retries++
			}
			if replicaZones[event.Replica] != proxyZones[event.Proxy] {
				report.CrossZone++
			}
		case invariants.AttemptEnded:
			report.countOutcome(event.Outcome)
		}
	}
	return report
}

func (r *AttemptReport) countOutcome(outcome invariants.Outcome) {
	switch outcome {
	case invariants.Rejected:
		r.Rejected++
	case invariants.ConnectFailed:
		r.ConnectFailed++
	case invariants.ErrorResponse, invariants.ConnectionLost:
		r.Errored++
	case invariants.TimedOut:
		r.TimedOut++
	}
}
