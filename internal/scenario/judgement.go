package scenario

import (
	"peppervale/internal/config"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
)

// invariantSettings gives the limits that the check of the invariants uses.
func (s *Script) invariantSettings() invariants.Figures {
	settings := invariants.Figures{
		Zones:     s.Zones,
		Bare:      s.Guarantees.Bare,
		Grace:     s.Guarantees.Grace,
		Cold:      s.Guarantees.Cold,
		TipFactor: s.Guarantees.TipFactor,
		TipSpan:   s.Guarantees.TipSpan,
		QueueMost: s.Guarantees.QueueMost,
		WriteMost: s.Guarantees.WriteMost,
		WriteSpan: s.Guarantees.WriteSpan,
	}
	effects := map[config.Effect]invariants.Effect{
		config.Idempotent:    invariants.Idempotent,
		config.Fingerprinted: invariants.Fingerprinted,
		config.SideEffecting: invariants.SideEffecting,
	}
	for _, operation := range s.Operations {
		settings.Operations = append(settings.Operations, invariants.Operation{
			Name:   operation.Name,
			Effect: effects[operation.Effect],
			Window: operation.Window,
		})
	}
	return settings
}

// report puts the results of the scenario together.
func (r *runner) report(verdicts []invariants.Verdict) *Report {
	report := &Report{
		Scenario:   r.script.Name,
		Seconds:    float64(r.script.Length) / float64(model.Second),
		Proxies:    len(r.proxies),
		Replicas:   len(r.replicas),
		Instances:  r.instanceCount(),
		Operations: r.statistics.report(),
		Attempts:   r.attemptReport(),
		Channel:    r.channelReport(),
		Invariants: verdicts,
	}
	report.Service, report.WorstService = r.statistics.serviceLevel()
	for _, candidate := range r.replicas {
		if candidate.Tipped {
			report.CollapsedReplicas++
		}
	}
	return report
}

// channelReport adds the proxies' statistics up.
func (r *runner) channelReport() ChannelReport {
	var report ChannelReport
	for _, proxy := range r.proxies {
		report.Messages += proxy.Messages
		report.Entries += proxy.Lines
		report.Bytes += proxy.Bytes
		report.Joins += proxy.Joins
		report.Resyncs += proxy.Resyncs
		if proxy.Joined() != "" && proxy.Bound() {
			report.Bound++
		}
	}
	return report
}

// attemptReport counts the attempts that were observed.
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
		case invariants.Tried:
			report.Sent++
			if event.N > 1 {
				report.Retries++
			}
			if replicaZones[event.Replica] != proxyZones[event.Forwarder] {
				report.CrossZone++
			}
		case invariants.Ended:
			report.countOutcome(event.Outcome)
		}
	}
	return report
}

func (r *AttemptReport) countOutcome(outcome invariants.Outcome) {
	switch outcome {
	case invariants.Refused:
		r.Rejected++
	case invariants.ConnectFailed:
		r.ConnectFailed++
	case invariants.Errored, invariants.Broken:
		r.Errored++
	case invariants.TimedOut:
		r.TimedOut++
	}
}
