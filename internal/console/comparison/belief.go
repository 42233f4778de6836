package comparison

import (
	"encoding/json"
	"fmt"

	"peppervale/internal/model"
)

// Belief is what one governor's console said at a time. It is never written again.
type Belief struct {
	Name       string
	Life       uint64
	Version    uint64
	At         model.Microseconds // of its own view, by its clock
	Gate       string
	Waits      int // replicas that its gate waits for
	Joined     int
	Bound      int
	Ready      int // listed
	List       string
	Stress     float64
	Queue      int
	QueueMost  int
	Replicas   map[string]Replica   // by address
	Forwarders map[string]Forwarder // by name
}

// Replica is what a governor believes of one; the names are its console's.
type Replica struct {
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	Listed    string  `json:"listed"`
	State     string  `json:"state"`
	Withdrawn bool    `json:"withdrawn"`
	Part      float64 `json:"part"`
	Errors    float64 `json:"errors"`
	Heard     string  `json:"heard"`
}

// Forwarder is one that is joined at a governor.
type Forwarder struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Table int    `json:"table"`
}

// rowsMost bounds what is kept of one governor's page; a console sends no more.
const rowsMost = 5000

// read makes a belief of the three pages of a console: overview, replicas, forwarders.
func read(overview, replicas, forwarders []byte) (*Belief, error) {
	var first struct {
		Governor string             `json:"governor"`
		Life     uint64             `json:"life"`
		At       model.Microseconds `json:"at_us"`
		Channel  struct {
			Version uint64 `json:"version"`
			Queue   int    `json:"queue_lines"`
		} `json:"channel"`
		Body struct {
			Gate      string   `json:"gate"`
			Waits     []string `json:"gate_waits_for"`
			Joined    int      `json:"forwarders_joined"`
			Bound     int      `json:"forwarders_bound"`
			Ready     int      `json:"listed_ready"`
			List      string   `json:"list_age"`
			Stress    float64  `json:"stress"`
			QueueMost int      `json:"queue_limit"`
		} `json:"body"`
	}
	var second struct {
		Body []Replica `json:"body"`
	}
	var third struct {
		Body []Forwarder `json:"body"`
	}
	for _, page := range []struct {
		name string
		text []byte
		into any
	}{{"overview", overview, &first}, {"replicas", replicas, &second}, {"forwarders", forwarders, &third}} {
		if err := json.Unmarshal(page.text, page.into); err != nil {
			return nil, fmt.Errorf("its page of %s is not a peppervale console's: %w", page.name, err)
		}
	}
	if first.Governor == "" || first.Body.Gate == "" {
		return nil, fmt.Errorf("its overview names no governor or no gate; is it a peppervale console?")
	}
	if len(second.Body) > rowsMost || len(third.Body) > rowsMost {
		return nil, fmt.Errorf("%d replicas and %d forwarders on its pages; %d of each are taken", len(second.Body), len(third.Body), rowsMost)
	}
	b := &Belief{
		Name: first.Governor, Life: first.Life, Version: first.Channel.Version, At: first.At, Gate: first.Body.Gate, Waits: len(first.Body.Waits),
		Joined: first.Body.Joined, Bound: first.Body.Bound, Ready: first.Body.Ready, List: first.Body.List, Stress: first.Body.Stress,
		Queue: first.Channel.Queue, QueueMost: first.Body.QueueMost, Replicas: map[string]Replica{}, Forwarders: map[string]Forwarder{},
	}
	for _, r := range second.Body {
		b.Replicas[r.Address] = r
	}
	for _, f := range third.Body {
		b.Forwarders[f.Name] = f
	}
	return b, nil
}
