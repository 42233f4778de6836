package console

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

const (
	// unreadStreams is the number of viewers that open a live stream and do not read it.
	unreadStreams = 200

	maxPageTime = 3 * time.Second
)

// TestPagesStayFastWhileControllerIsOverloaded guards against pages that wait for an overloaded event loop: the
// controller receives ten times the load reports and joins that it can process, the channel takes 50 ms for each batch,
// and 200 viewers do not read their live streams.
func TestPagesStayFastWhileControllerIsOverloaded(t *testing.T) {
	fixture := startFixture(t, 300, 50*time.Millisecond)
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		fixture.flood(stop)
	}()
	defer func() {
		close(stop)
		<-stopped
	}()
	for range unreadStreams {
		fixture.openUnreadStream()
	}
	var slowest time.Duration
	for range 3 {
		for _, path := range pagePaths {
			status, text, elapsed := fixture.get(path)
			if status != 200 || !strings.Contains(text, "state as of") {
				t.Fatalf("%s while overloaded: want a page with status 200, got %d\n%.300s", path, status, text)
			}
			slowest = max(slowest, elapsed)
		}
	}
	t.Logf("slowest page %s; %d load reports were merged", slowest, fixture.controller.View().MergedReports)
	if slowest > maxPageTime {
		t.Fatalf("the slowest page took %s, over maxPageTime", slowest)
	}
}

// flood sends load reports of all replicas and the join of a proxy every millisecond, until stop is closed.
func (f *consoleFixture) flood(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		var reports []model.LoadReport
		for replica := range 300 {
			reports = append(reports, model.LoadReport{
				Replica: replicaID(replica), Attempts: 3, MeanLatency: 100_000, Window: model.Second,
			})
		}
		f.controller.LoadReported(n%2, reports)
		proxy := model.ProxyID(10 + n%500)
		join := pubsubmsg.Join{Name: fmt.Sprint("flood-", proxy), ExpectedRate: 1}
		f.controller.ProxyConnected(proxy, uint64(1000+n), join, n%2)
	}
}

// openUnreadStream opens a live stream that is never read. The test's cleanup closes it.
func (f *consoleFixture) openUnreadStream() {
	f.t.Helper()
	connection, err := net.Dial("tcp", f.console.Addr())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		if err := connection.Close(); err != nil {
			f.t.Error(err)
		}
	})
	if _, err := fmt.Fprintf(connection, "GET /live HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		f.t.Fatal(err)
	}
}
