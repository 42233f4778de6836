//go:build review2

package main

import (
	"math/rand/v2"
	"sort"
	"time"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// loadReports returns what the requests of the last second met: each goes to a replica drawn by weight, and takes that
// replica's present time and some chance, or fails if that replica is lost. p.mu is held.
func (p *proxy) loadReports() (reports []model.LoadReport) {
	usable := p.usable()
	sort.Strings(usable)
	total := 0.0
	for _, replica := range usable {
		total += p.entries[replica]
	}
	if total <= 0 {
		p.refused += int(p.rate + rand.Float64())
		return nil
	}
	attempts := map[string]int{}
	for range int(p.rate + rand.Float64()) {
		left := rand.Float64() * total
		for _, replica := range usable {
			left -= p.entries[replica]
			if left <= 0 {
				attempts[replica]++
				break
			}
		}
	}
	for _, replica := range usable {
		if attempts[replica] == 0 {
			continue
		}
		p.sent = append(p.sent, sending{p.bed.now() - time.Second, replica, attempts[replica]})
		id, err := pubsubmsg.ParseAddress(replica)
		if err != nil {
			continue
		}
		if p.failing(replica, p.bed.now()) {
			reports = append(reports, model.LoadReport{
				Replica: id, Attempts: attempts[replica], Errors: attempts[replica],
			})
			continue
		}
		mean := 0.0
		for range attempts[replica] {
			mean += float64(p.latency(replica, p.bed.now())) * (0.7 + 0.6*rand.Float64())
		}
		mean /= float64(attempts[replica])
		reports = append(reports, model.LoadReport{
			Replica: id, Attempts: attempts[replica], MeanLatency: model.Microseconds(mean / 1000),
			Readings: []float64{0.3 + 0.1*rand.Float64()},
		})
	}
	return reports
}
