package server

import (
	"errors"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/model"
)

// close releases components in the reverse order of opening, continues after an error, and joins the errors.
func TestCloseReleasesInReverseOrder(t *testing.T) {
	inst := newInstance(&config.Server{}, Environment{}, zerolog.Nop())
	storeError, writerError := errors.New("store"), errors.New("writer")
	var released []string
	addCloser := func(name string, err error) {
		inst.addCloser(func() error {
			released = append(released, name)
			return err
		})
	}
	addCloser("store", storeError)
	addCloser("writer", writerError)
	addCloser("proxies", nil)
	err := inst.close()
	if want := []string{"proxies", "writer", "store"}; !slices.Equal(released, want) {
		t.Errorf("released %v, want %v", released, want)
	}
	if !errors.Is(err, storeError) || !errors.Is(err, writerError) {
		t.Errorf("got %v, want both errors", err)
	}
}

// newTestRunner returns the runner of a controller, and a channel that receives an element for each run.
func newTestRunner() (runner *controllerRunner, runs chan struct{}) {
	source := controller.New(model.Config{
		Operations:   []model.Operation{{LatencyObjective: 1, PriorityWeight: 1}},
		Zones:        1,
		ReportPeriod: model.Second,
		QueueLimit:   1,
	}, 1, controller.NewClock(), zerolog.Nop())
	runs = make(chan struct{}, 2)
	runner = &controllerRunner{controller: source, run: func() {
		runs <- struct{}{}
		source.Run(noopProxyServer{}, noopDiscovery{}, nil)
	}}
	return runner, runs
}

func TestControllerStartsOnce(t *testing.T) {
	runner, runs := newTestRunner()
	if !runner.isIdle() || !runner.start() {
		t.Error("start did not start an idle controller")
	}
	if runner.isIdle() || runner.start() {
		t.Error("start started a running controller")
	}
	runner.stop()
	runner.stop()
	if runner.isIdle() || runner.start() {
		t.Error("start started a stopped controller")
	}
	if len(runs) != 1 {
		t.Errorf("the controller ran %d times, want 1", len(runs))
	}
}

func TestControllerStoppedBeforeStartNeverRuns(t *testing.T) {
	runner, runs := newTestRunner()
	runner.stop()
	if runner.isIdle() || runner.start() {
		t.Error("start started a stopped controller")
	}
	if len(runs) != 0 {
		t.Errorf("the controller ran %d times, want 0", len(runs))
	}
}
