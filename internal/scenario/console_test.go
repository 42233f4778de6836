package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"peppervale/internal/console/comparison"
	"peppervale/internal/controller"
)

const (
	survivingInstance = "govan-1"
	lostInstance      = lostZone + "-2"
	lostReplicaCount  = 5 // number of replicas of the lost zone
)

var consolePagePaths = []string{
	"/", "/zones", "/replicas", "/forwarders", "/tables", "/orders?about=" + lostZone, "/settings", "/plot/ready.svg",
}

var comparisonPagePaths = []string{"/", "/replicas", "/forwarders"}

// Every page of the consoles answers while a zone is lost and recovers, and the pages show the loss and the recovery.
func TestConsolesShowLossAndRecoveryWhenAZoneIsLost(t *testing.T) {
	if testing.Short() {
		t.Skip("a scenario on sockets takes seconds")
	}
	t.Parallel()
	script := openScript(t, zoneLossFile)
	script.Length = seconds(20)
	script.Steps = []Step{{Kind: ZoneLoss, At: seconds(5), Duration: seconds(5), Zone: lostZone}}
	progress := make(chan string, 1000)
	watchResult := make(chan error, 1)
	go func() { watchResult <- watchConsoles(progress) }()
	report, err := Run(context.Background(), script, Options{
		Program:   instanceProgram(),
		Directory: t.TempDir(),
		Progress:  writerFunc(func(line []byte) { progress <- string(line) }),
	})
	close(progress)
	if err != nil {
		t.Fatal(err)
	}
	requireInvariants(t, report)
	if err := <-watchResult; err != nil {
		t.Error(err)
	}
}

// watchConsoles polls the consoles from the loss of the zone until they have shown its complete recovery.
func watchConsoles(progress chan string) error {
	defer http.DefaultClient.CloseIdleConnections()
	consoles := awaitConsoles(progress)
	if len(consoles) != len(twoInstanceZones) {
		return fmt.Errorf("the progress lines name the consoles of %d instances, want %d",
			len(consoles), len(twoInstanceZones))
	}
	// The comparison must read the incarnations of the instances before the zone is lost.
	addresses := []string{consoles[survivingInstance], consoles[lostInstance]}
	server, err := comparison.Listen("127.0.0.1:0", addresses, controller.NewClock())
	if err != nil {
		return err
	}
	defer server.Close()
	awaitStep(progress, ZoneLoss)
	watch := consoleWatch{console: consoles[survivingInstance], comparison: "http://" + server.Addr()}
	deadline := time.Now().Add(14 * time.Second)
	for time.Now().Before(deadline) && !watch.isComplete() {
		if err := watch.observe(); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !watch.isComplete() {
		return fmt.Errorf("the consoles have not shown the loss and cold restart of the zone and its instance: %+v", watch)
	}
	return nil
}

// awaitConsoles reads progress lines until it has the console of each instance. It returns the consoles' addresses by
// instance.
func awaitConsoles(progress chan string) map[string]string {
	consoles := map[string]string{}
	for line := range progress {
		_, rest, found := strings.Cut(line, "console of ")
		if !found {
			continue
		}
		name, address, _ := strings.Cut(rest, ": ")
		consoles[name] = strings.TrimSpace(address)
		if len(consoles) == len(twoInstanceZones) {
			break
		}
	}
	return consoles
}

// awaitStep reads progress lines until a step of the given kind begins.
func awaitStep(progress chan string, kind StepKind) {
	for line := range progress {
		if strings.Contains(line, string(kind)) {
			return
		}
	}
}

// consoleWatch records the events that the consoles have shown so far. After the loss, the zone's replicas restart
// cold, so the consoles show them as warming up. While the zone's instance is down, the comparison shows its last known
// state and an error. After its restart, the comparison shows a new incarnation.
type consoleWatch struct {
	console    string // URL of the surviving instance's console
	comparison string // URL of the console that compares the instances

	zoneLossShown         bool
	zoneRecoveryShown     bool
	instanceLossShown     bool
	instanceRestartShown  bool
	incarnationBeforeLoss uint64
}

func (w *consoleWatch) isComplete() bool {
	return w.zoneLossShown && w.zoneRecoveryShown && w.instanceRestartShown
}

func (w *consoleWatch) observe() error {
	for _, page := range consolePagePaths {
		if _, err := getPage(w.console + page); err != nil {
			return err
		}
	}
	for _, page := range comparisonPagePaths {
		if _, err := getPage(w.comparison + page); err != nil {
			return err
		}
	}
	if err := w.observeInstances(); err != nil {
		return err
	}
	return w.observeReplicas()
}

func (w *consoleWatch) observeInstances() error {
	text, err := getPage(w.comparison + "/?as=json")
	if err != nil {
		return err
	}
	var page struct {
		Body struct {
			Instances []struct {
				Name        string `json:"governor"`
				Error       string `json:"error"`
				Incarnation uint64 `json:"life"`
			} `json:"governors"`
		} `json:"body"`
	}
	if err := json.Unmarshal([]byte(text), &page); err != nil {
		return fmt.Errorf("comparison: %w: %.300s", err, text)
	}
	if len(page.Body.Instances) != 2 {
		return fmt.Errorf("comparison shows %d instances, want 2: %.300s", len(page.Body.Instances), text)
	}
	lastInstance := page.Body.Instances[1]
	if lastInstance.Name != lostInstance {
		return nil
	}
	if lastInstance.Error != "" && lastInstance.Incarnation > 0 {
		w.instanceLossShown = true
	}
	if w.instanceLossShown && lastInstance.Error == "" && lastInstance.Incarnation > w.incarnationBeforeLoss {
		w.instanceRestartShown = true
	}
	if !w.instanceLossShown {
		w.incarnationBeforeLoss = lastInstance.Incarnation
	}
	return nil
}

func (w *consoleWatch) observeReplicas() error {
	text, err := getPage(w.console + "/replicas?as=json")
	if err != nil {
		return err
	}
	absentReplicas := strings.Count(text, `"state": "away"`)
	warmingReplicas := strings.Count(text, `"state": "easing"`)
	if absentReplicas == lostReplicaCount {
		w.zoneLossShown = true
	}
	if w.zoneLossShown && absentReplicas == 0 && warmingReplicas >= lostReplicaCount {
		w.zoneRecoveryShown = true
	}
	return nil
}

// getPage returns the body of a page. Every status but 200 is an error.
func getPage(url string) (string, error) {
	response, err := http.Get(url)
	if err != nil {
		return "", err
	}
	text, readErr := io.ReadAll(response.Body)
	if err := errors.Join(readErr, response.Body.Close()); err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%s: status %d, want 200: %.200s", url, response.StatusCode, text)
	}
	return string(text), nil
}
