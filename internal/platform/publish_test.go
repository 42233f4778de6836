package platform

import (
	"net"
	"testing"

	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// TestReplicasThatOtherControllersWithdrewAreReadmitted: A proxy that joins with withdrawals of other controllers does
// not use an entry whose replica one of them has withdrawn. The replicas of its entries are therefore readmitted. A
// proxy that holds nothing but its standing table (new 1) may have got such withdrawals too (shut-out-new of the
// review).
func TestReplicasThatOtherControllersWithdrewAreReadmitted(t *testing.T) {
	for _, join := range []string{"joined id 7 site govan rps 1 new 0", "joined id 7 site govan rps 1 new 1"} {
		t.Run(join, func(t *testing.T) {
			harness := startServer(t, nil)
			client := harness.dial(t).send(join)
			harness.waitForAdmission(7, func(*stream) bool { return true })
			bind := bindProxy(7)
			bind.Readmitted = []model.ReplicaID{harness.replica(1), harness.replica(2)}
			var updates []snapshot.Update
			for _, replica := range []int{1, 2, 4, 5, 6, 7} {
				updates = append(updates, harness.setWeight(replica, 1))
			}
			harness.publish(-1, append(updates, harness.setWithdrawn(2, true), bind)...)
			client.expectMessage("update whole 1 lines s-1:1,s-2:1,s-4:1,s-5:1,s-6:1,s-7:1 out s-2 back s-1")
			// The remaining replicas are readmitted two at a time, in the message's unused capacity for quotas; a new
			// entry readmits its own replica in addition.
			harness.publish(-1, harness.setWeight(1, 2), harness.setWeight(3, 1))
			client.expectMessage("update lines s-1:2,s-3:1 back s-3,s-4,s-5")
			harness.publish(-1, harness.setWeight(1, 1), setQuota(0.9))
			client.expectMessage("update lines s-1:1 back s-6 more 1")
			client.expectMessage("update classes read level 0.9 retry 1")
			harness.publish(-1, harness.setWeight(1, 2))
			client.expectMessage("update lines s-1:2 back s-7")
			harness.publish(-1, harness.setWeight(1, 1))
			client.expectMessage("update lines s-1:1")
		})
	}
}

// TestBindCarriesReadmissionsOfSameStep: Guards against a proxy that shuts out what its table names, because its bind
// lost the end of this instance's own withdrawal. It holds for proxies with and without earlier withdrawals.
func TestBindCarriesReadmissionsOfSameStep(t *testing.T) {
	for _, join := range []string{"joined id 7 site govan rps 1 new 0", "joined id 7 site govan rps 1 new 1"} {
		t.Run(join, func(t *testing.T) {
			harness := startServer(t, nil)
			client := harness.dial(t).send(join)
			harness.waitForAdmission(7, func(*stream) bool { return true })
			harness.publish(-1, harness.setWithdrawn(1, true), harness.setWithdrawn(2, true))
			client.expectMessage("update out s-1,s-2")
			harness.publish(-1, harness.setWithdrawn(1, false), harness.setWithdrawn(2, false), harness.setWeight(1, 1),
				bindProxy(7))
			client.expectMessage("update whole 1 lines s-1:1 back s-1")
			harness.publish(-1, harness.setWeight(2, 1))
			client.expectMessage("update lines s-2:1 back s-2")
		})
	}
}

// TestOperationTablesAreSentInSeparateUpdateParts: An update has one part for each operation that has its own
// table, with the operation's name.
func TestOperationTablesAreSentInSeparateUpdateParts(t *testing.T) {
	harness := startServer(t, nil)
	client := harness.dial(t).send("joined id 7 site govan rps 1 new 0")
	harness.waitForEvent("connected 7 zone 0 rate 1 standing false")
	readBind := bindProxy(7)
	readBind.Operations = 1
	logBind := bindProxy(7)
	logBind.Operations = 2
	logBind.Table = 2
	logBind.Readmitted = []model.ReplicaID{harness.replica(3)}
	tableTwoWeight := harness.setWeight(3, 1)
	tableTwoWeight.Table = 2
	harness.publish(5, harness.setWeight(1, 1), harness.setWeight(2, 1), tableTwoWeight, readBind, logBind,
		harness.setWithdrawn(2, true))
	client.expectMessage("update out s-2 back s-3 more 1")
	client.expectMessage("update classes read whole 1 lines s-1:1,s-2:1 more 1")
	client.expectMessage("update classes log whole 1 lines s-3:1 ticket 5")
	client.send("applied id 7 seq 5 ms 1")
	harness.waitForEvent("acknowledged 7 5")
	tableTwoWeight.Weight = 2
	harness.publish(-1, tableTwoWeight, harness.setWeight(4, 1))
	client.expectMessage("update back s-4,s-1 more 1")
	client.expectMessage("update classes read lines s-4:1 more 1")
	client.expectMessage("update classes log lines s-3:2")
}

// TestConnectionOfProxyThatReadsNothingIsClosed: The connection of a proxy that reads nothing is closed when its unsent
// bytes exceed the limit.
func TestConnectionOfProxyThatReadsNothingIsClosed(t *testing.T) {
	harness := startServer(t, nil)
	client := harness.dial(t).send(joinMessage(7))
	_ = client.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	harness.waitForEvent("connected 7 zone 0 rate 1 standing true")
	for n := 0; harness.server.Stats().ClosedAsSlow == 0; n++ {
		harness.publish(-1, harness.setWithdrawn(n%9+1, n%2 == 0))
		if n > 5_000_000 {
			t.Fatal("the proxy is still joined after 5,000,000 updates")
		}
	}
	harness.waitForEvent("disconnected 7")
}
