package controller

import (
	"encoding/binary"
	"testing"

	"peppervale/internal/model"
)

// Guards against a proxy that reports ever new replicas: its reports neither fill the memory nor delay the reports of
// others, before and after the first endpoint list.
func TestReportsOnUnlistedReplicasAreBounded(t *testing.T) {
	const flood = 100_000
	box := newMailbox()
	sendFlood := func() {
		for n := range uint32(flood) {
			var replica model.ReplicaID
			binary.BigEndian.PutUint32(replica.Addr[:], n)
			box.loadReported(0, []model.LoadReport{{Replica: replica, Attempts: 1, MeanLatency: 1, Window: 1}})
		}
	}
	sendFlood()
	waiting, _, dropped := box.reportCounts()
	if waiting != maxReportsBeforeList || dropped != flood-maxReportsBeforeList {
		t.Fatalf("without a list %d reports wait and %d are dropped, want %d and %d", waiting, dropped,
			maxReportsBeforeList, flood-maxReportsBeforeList)
	}
	box.drain(maxReportsBeforeList)
	listed := id(1)
	box.endpointsChanged(model.FullList, []model.Endpoint{{ID: listed, Status: model.EndpointReady}})
	sendFlood()
	box.loadReported(0, []model.LoadReport{{Replica: listed, Attempts: 1, MeanLatency: 1, Window: 1}})
	reports := box.drain(1).reports
	if len(reports) != 1 || reports[0].Replica != listed {
		t.Fatalf("reports after the flood: %+v, want that on the listed replica", reports)
	}
	box.endpointsChanged(model.FullList, nil) // a replica that leaves the list is still reported on
	box.loadReported(0, []model.LoadReport{{Replica: listed, Attempts: 1, MeanLatency: 1, Window: 1}})
	if len(box.drain(1).reports) != 1 {
		t.Fatal("the report on a replica that has left the list is dropped")
	}
}
