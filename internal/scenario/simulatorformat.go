package scenario

import (
	"encoding/json"
	"fmt"
)

// SimulatorScenarioError is the reason why a scenario of the operators' simulator cannot be converted.
type SimulatorScenarioError struct {
	Problem string
	Cause   error // nil: none
}

func (e *SimulatorScenarioError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("bench day: %v", e.Cause)
	}
	return "bench day: " + e.Problem
}

func (e *SimulatorScenarioError) Unwrap() error { return e.Cause }

// simulatorScenario holds the fields that are read from a scenario of the operators' simulator. Times are in
// microseconds.
type simulatorScenario struct {
	Site    string   `json:"site"`
	Kind    string   `json:"kind"`
	Length  float64  `json:"length"`
	Zones   []string `json:"zones"`
	Traffic struct {
		Load float64 `json:"load"` // as a share of the replicas' capacity
	} `json:"traffic"`
	Clients struct {
		Retries int `json:"retries"`
	} `json:"clients"`
	Discovery struct {
		ExitDelay   float64 `json:"notice"`
		SilentDelay float64 `json:"silent_notice"`
		AddDelay    float64 `json:"add"`
	} `json:"discovery"`
	DrainGrace       float64 `json:"drain_grace"`
	OverloadFactor   float64 `json:"fall_multiple"`
	OverloadDuration float64 `json:"fall_for"`
	Prices           struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
	Operations []simulatorOperation `json:"classes"`
	Tiers      []simulatorTier      `json:"tiers"`
	Replicas   []simulatorReplica   `json:"servers"`
	Proxies    []simulatorProxy     `json:"balancers"`
	Faults     []simulatorFault     `json:"troubles"`
	Control    simulatorControl     `json:"fam"`
}

type simulatorOperation struct {
	Name          string  `json:"name"`
	Effect        string  `json:"effect"`
	Group         string  `json:"group"`
	Share         float64 `json:"share"`
	Work          float64 `json:"work"` // mean
	WorkVariation float64 `json:"cv"`   // coefficient of variation of the work
	Objective     float64 `json:"aim"`
	Timeout       float64 `json:"deadline"`
	Value         float64 `json:"worth"`
	Window        float64 `json:"window"`
}

type simulatorTier struct {
	Kinds              []simulatorReplicaKind `json:"kinds"`
	ReportFields       []string               `json:"report_fields"`
	ReportPeriod       float64                `json:"report_period"`
	HandshakeWork      float64                `json:"handshake_work"`
	ConnectionsPerCore float64                `json:"conn_cap_per_core"`
	StatedInitialShare float64                `json:"stated_cold_from"`
	StatedWarmUpPeriod float64                `json:"stated_cold"`
}

type simulatorReplicaKind struct {
	Name         string  `json:"name"`
	Cores        int     `json:"cores"`
	Queue        int     `json:"queue"`
	WarmUpPeriod float64 `json:"cold"`
	InitialShare float64 `json:"cold_from"`
}

type simulatorReplica struct {
	Zone  int     `json:"zone"`
	Kind  int     `json:"kind"` // index of its kind in the tier's Kinds
	Speed float64 `json:"speed"`
	Up    bool    `json:"up"`
}

type simulatorProxy struct {
	Zone int `json:"zone"`
}

type simulatorFault struct {
	Kind     string  `json:"kind"`
	StartsAt float64 `json:"at"`
	Duration float64 `json:"len"`
	Size     float64 `json:"size"`
	Extra    float64 `json:"extra"` // its meaning depends on the kind
	Targets  []int   `json:"on"`    // indices of the targets; empty: all
	Index    int     `json:"which"` // index of a zone or an operation, depending on the kind
}

// simulatorControl holds the settings of the controllers, the channel and the proxies.
type simulatorControl struct {
	ControllerZones       []int   `json:"controllers"`
	QueueLimit            float64 `json:"backlog"`
	MaxTimeWithoutReplica float64 `json:"bare"`
	ReportPeriod          float64 `json:"period"`
	MessageOverhead       float64 `json:"head"`
	EntriesPerSecond      float64 `json:"rate"`
	ReportLimit           float64 `json:"intake"`
	MessageLimit          int     `json:"messages_most"`
	StandingTableSize     int     `json:"standing"`
	Pick                  string  `json:"pick"`
	EjectAfter            int     `json:"ejects"`
	EjectFor              float64 `json:"eject"`
	RedialInterval        float64 `json:"redial"`
	PublishCost           float64 `json:"order_price"`
	FirstAttemptFraction  float64 `json:"try_aims"`
	RetryPolicy           int     `json:"usual_how"`
	Admission             string  `json:"admit"`
}

// parseSimulatorScenario reads a simulator's scenario and checks the fields that the conversion needs.
func parseSimulatorScenario(text []byte) (*simulatorScenario, error) {
	var scenario simulatorScenario
	if err := json.Unmarshal(text, &scenario); err != nil {
		return nil, &SimulatorScenarioError{Cause: err}
	}
	if !scenario.isComplete() {
		problem := "expected exactly one tier with kinds, and at least one server, balancer, zone and class"
		return nil, &SimulatorScenarioError{Problem: problem}
	}
	if scenario.Length <= 0 || scenario.Control.ReportPeriod <= 0 || scenario.Control.EntriesPerSecond <= 0 {
		problem := "length, report period and channel rate must be above 0"
		return nil, &SimulatorScenarioError{Problem: problem}
	}
	return &scenario, nil
}

func (s *simulatorScenario) isComplete() bool {
	if len(s.Tiers) != 1 || len(s.Tiers[0].Kinds) == 0 {
		return false
	}
	return len(s.Replicas) > 0 && len(s.Proxies) > 0 && len(s.Zones) > 0 && len(s.Operations) > 0
}

// tier returns the only tier.
func (s *simulatorScenario) tier() simulatorTier { return s.Tiers[0] }
