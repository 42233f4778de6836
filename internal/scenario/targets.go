package scenario

// sampleIndices draws a fraction of the indices below count, at least one, in random order.
func (r *runner) sampleIndices(fraction float64, count int) []int {
	indices := make([]int, count)
	for i := range indices {
		indices[i] = i
	}
	for i := count - 1; i > 0; i-- {
		j := r.random.IntN(i + 1)
		indices[i], indices[j] = indices[j], indices[i]
	}
	sampleSize := max(1, int(fraction*float64(count)+0.5))
	return indices[:min(count, sampleSize)]
}

// targetReplicas draws the replicas that a step affects from the replicas that answer requests, in the step's zone if
// it has one. It increments the fault count of each.
func (r *runner) targetReplicas(step Step) []*managedReplica {
	var candidates []*managedReplica
	for _, candidate := range r.replicas {
		if candidate.Running && !candidate.Silent && step.affectsZone(candidate.Zone) {
			candidates = append(candidates, candidate)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	var targets []*managedReplica
	for _, i := range r.sampleIndices(step.Fraction, len(candidates)) {
		candidates[i].faultCount++
		targets = append(targets, candidates[i])
	}
	return targets
}

// targetProxies draws the proxies that a step affects.
func (r *runner) targetProxies(step Step) []*managedProxy {
	var candidates []*managedProxy
	for _, candidate := range r.proxies {
		if step.affectsZone(candidate.Zone) {
			candidates = append(candidates, candidate)
		}
	}
	var targets []*managedProxy
	for _, i := range r.sampleIndices(step.Fraction, len(candidates)) {
		targets = append(targets, candidates[i])
	}
	return targets
}

// targetInstances draws the instances that a step affects. It also returns the number of candidates.
func (r *runner) targetInstances(step Step) (targets []*instance, candidateCount int) {
	var candidates []*instance
	for _, candidate := range r.instances {
		if step.affectsZone(candidate.zone) {
			candidates = append(candidates, candidate)
		}
	}
	if len(candidates) == 0 {
		return nil, 0
	}
	for _, i := range r.sampleIndices(step.Fraction, len(candidates)) {
		targets = append(targets, candidates[i])
	}
	return targets, len(candidates)
}

// affectsZone reports whether a step affects a zone.
func (s Step) affectsZone(zone string) bool { return s.Zone == "" || s.Zone == zone }
