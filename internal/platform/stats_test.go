package platform

import (
	"encoding/json"
	"testing"
)

// TestStatsJSONKeepsKeysAndOrder: The statistics are logged with the keys and in the order of earlier versions.
func TestStatsJSONKeepsKeysAndOrder(t *testing.T) {
	const want = `{"Proxies":1,"Collectors":2,"Connections":3,"Strangers":4,"Refused":5,"Evicted":6,` +
		`"Spoilt":7,"Faults":8,"Silent":9,"Slow":10,"Replaced":11,"AskedAgain":12,` +
		`"Updates":13,"Lines":14,"Bytes":15,"Sums":16,"Tries":17,"Owed":18,"Usage":19}`
	stats := Stats{
		ConnectionStats{Proxies: 1, Collectors: 2, Connections: 3, EndedBeforeJoin: 4, Rejected: 5, Evicted: 6},
		ProtocolErrorStats{InvalidMessages: 7, ProtocolErrors: 8},
		StreamStats{ClosedAsSilent: 9, ClosedAsSlow: 10, Replaced: 11, AckRetries: 12},
		PublishStats{Updates: 13, Entries: 14, Bytes: 15},
		ReportStats{LoadReports: 16, Attempts: 17, PendingAcks: 18, UsageRequests: 19},
	}
	got, err := json.Marshal(stats)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}
