package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/codec/simulator"
	"peppervale/internal/model"
)

// Platform is what the operators' platform tells a governor that it starts.
type Platform struct {
	Name, Listen, Discovery string
	Zones, Operations       []string // names, in the order of the terms
	LoadFields              []string // names of a load report's readings, in the order of the terms
	Balancer                model.Config
	Memory                  int64              // bytes that all its processes may use
	Sockets                 int                // descriptors that a process may hold
	MaxDeliveryDelay        model.Microseconds // the longest that a message takes to a proxy
	Known                   *platformmsg.EndpointList
}

// configMost bounds the file.
const configMost = 16 << 20

// LoadPlatform reads the file that LB_CONFIG names. The error tells the field.
func LoadPlatform(path string) (*Platform, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > configMost {
		return nil, fmt.Errorf("%s: %d bytes, %d are taken", path, info.Size(), configMost)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p, err := readPlatform(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

func readPlatform(text []byte) (*Platform, error) {
	// Keys are matched without regard to case; the upper case is what a decoding error shows.
	var o struct {
		Name      string `json:"Name"`
		Listen    string `json:"Listen"`
		Discovery string `json:"Discovery"`
		Seed      string `json:"Seed"`
		Limits    struct {
			Memory  float64 `json:"memory_mb"`
			Sockets int     `json:"Sockets"`
		} `json:"Limits"`
		Known    json.RawMessage `json:"Known"`
		Settings json.RawMessage `json:"Settings"`
	}
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, err
	}
	for _, a := range [][2]string{{"listen", o.Listen}, {"discovery", o.Discovery}} {
		if at, err := netip.ParseAddrPort(a[1]); err != nil || !at.Addr().Is4() || at.Port() == 0 {
			return nil, fmt.Errorf("%s: %.60q is no IPv4 address with a port", a[0], a[1])
		}
	}
	seed, err := strconv.ParseUint(o.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %.40q is no hexadecimal number of 64 bits", o.Seed)
	}
	if !(o.Limits.Memory >= 8) || o.Limits.Memory > 1<<20 || o.Limits.Sockets < 64 || o.Limits.Sockets > many {
		return nil, fmt.Errorf("limits: %g MB and %d sockets; 8 MB and 64 sockets at least are wanted", o.Limits.Memory, o.Limits.Sockets)
	}
	p := &Platform{Name: o.Name, Listen: o.Listen, Discovery: o.Discovery, Memory: int64(o.Limits.Memory * (1 << 20)), Sockets: o.Limits.Sockets}
	if p.Balancer, err = simulator.Terms(seed, o.Settings); err != nil {
		return nil, err
	}
	var names struct {
		Zones   []string `json:"Zones"`
		Classes []struct {
			Name string `json:"Name"`
		} `json:"Classes"`
		Stats struct {
			Fields []string `json:"Fields"`
		} `json:"Stats"`
		Extra struct {
			Carries float64 `json:"push_delay_max"`
		} `json:"Extra"`
	}
	if err := json.Unmarshal(o.Settings, &names); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p.Zones, p.MaxDeliveryDelay = names.Zones, model.Microseconds(names.Extra.Carries*float64(model.Millisecond))
	if p.MaxDeliveryDelay < 0 || p.MaxDeliveryDelay > longest {
		return nil, fmt.Errorf("settings: push_delay_max is %g ms", names.Extra.Carries)
	}
	for i, c := range names.Classes {
		if c.Name == "" {
			return nil, fmt.Errorf("settings: class %d has no name", i)
		}
		p.Operations = append(p.Operations, c.Name)
	}
	p.LoadFields = names.Stats.Fields // reports on sockets have the settings' own words
	if len(o.Known) > 0 {
		if p.Known, err = platformmsg.ParseEndpointList(o.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return p, nil
}
