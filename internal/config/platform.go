package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/codec/simulator"
	"peppervale/internal/model"
)

const (
	// maxPlatformFileBytes is the maximum size of the platform's file, in bytes.
	maxPlatformFileBytes = 16 << 20

	bytesPerMegabyte   = 1 << 20
	minMemoryMegabytes = 8
	maxMemoryMegabytes = 1 << 20
	minSockets         = 64
)

// Platform is the configuration that the operators' platform passes to an instance that it starts.
type Platform struct {
	Name             string
	ListenAddress    string   // address of the instance
	DiscoveryAddress string   // address of the platform's discovery service
	Zones            []string // names, indexed by the zone numbers of Balancer
	Operations       []string // names, indexed by the operation numbers of Balancer
	LoadReportFields []string // names of a load report's readings, in their order in the report
	Balancer         model.Config
	MemoryLimit      int64                     // bytes that all processes of the instance may use
	SocketLimit      int                       // file descriptors that a process may use
	MaxDeliveryDelay model.Microseconds        // maximum time to deliver a message to a proxy
	InitialEndpoints *platformmsg.EndpointList // endpoint list at startup; nil if there is none
}

// platformFile is the JSON content of the platform's file. Keys are matched case-insensitively; decoding errors show
// the tags, which begin with a capital letter. The types are aliases of unnamed types because decoding errors would
// show a type name.
type platformFile = struct {
	Name      string          `json:"Name"`
	Listen    string          `json:"Listen"`
	Discovery string          `json:"Discovery"`
	Seed      string          `json:"Seed"`
	Limits    platformLimits  `json:"Limits"`
	Known     json.RawMessage `json:"Known"`
	Settings  json.RawMessage `json:"Settings"`
}

type platformLimits = struct {
	Memory  float64 `json:"memory_mb"`
	Sockets int     `json:"Sockets"`
}

// platformSettings is the part of the simulator's settings that this package reads; package simulator reads the other
// settings.
type platformSettings = struct {
	Zones   []string        `json:"Zones"`
	Classes []platformClass `json:"Classes"`
	Stats   platformStats   `json:"Stats"`
	Extra   platformExtra   `json:"Extra"`
}

type platformClass = struct {
	Name string `json:"Name"`
}

type platformStats = struct {
	Fields []string `json:"Fields"`
}

type platformExtra = struct {
	MaxDeliveryDelay float64 `json:"push_delay_max"` // milliseconds
}

// LoadPlatform reads the file at path, which the environment variable LB_CONFIG names. It returns Errors or an error of
// the file system.
func LoadPlatform(path string) (*Platform, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxPlatformFileBytes {
		return nil, Errors{{
			File: path, Text: fmt.Sprintf("file size %d exceeds %d bytes", info.Size(), maxPlatformFileBytes),
		}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parsePlatform(path, text)
}

// parsePlatform decodes the text of the file at path. It returns Errors that contain the path.
func parsePlatform(path string, text []byte) (*Platform, error) {
	platform := &Platform{}
	err := platform.decode(text)
	if err == nil {
		return platform, nil
	}
	var fieldErr Error
	if !errors.As(err, &fieldErr) {
		fieldErr = Error{Text: err.Error(), Cause: err}
	}
	fieldErr.File = path
	return nil, Errors{fieldErr}
}

// fieldError returns an error of a field of the platform's JSON.
func fieldError(field, format string, args ...any) error {
	return Error{Field: field, Text: field + ": " + fmt.Sprintf(format, args...)}
}

// wrapError wraps a decoder error of a field of the file, or of the nested field that the decoder names.
func wrapError(field, prefix string, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		field = strings.Trim(field+"."+typeErr.Field, ".")
	}
	return Error{Field: field, Text: prefix + err.Error(), Cause: err}
}

// decode decodes the text of a file; its errors do not contain the file's path.
func (p *Platform) decode(text []byte) error {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return wrapError("", "", err)
	}
	p.Name = file.Name
	if err := p.setAddresses(file.Listen, file.Discovery); err != nil {
		return err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return fieldError("seed", "%.40q is not a 64-bit hexadecimal number", file.Seed)
	}
	if err := p.setLimits(file.Limits); err != nil {
		return err
	}
	p.Balancer, err = simulator.ParseSettings(seed, file.Settings)
	if err != nil {
		return wrapError("settings", "", err)
	}
	if err := p.setNames(file.Settings); err != nil {
		return err
	}
	return p.setInitialEndpoints(file.Known)
}

func (p *Platform) setAddresses(listen, discovery string) error {
	for _, field := range []struct{ name, address string }{
		{"listen", listen},
		{"discovery", discovery},
	} {
		address, err := netip.ParseAddrPort(field.address)
		if err != nil || !address.Addr().Is4() || address.Port() == 0 {
			return fieldError(field.name, "%.60q is not an IPv4 address with a port", field.address)
		}
	}
	p.ListenAddress = listen
	p.DiscoveryAddress = discovery
	return nil
}

func (p *Platform) setLimits(limits platformLimits) error {
	memoryAccepted := limits.Memory >= minMemoryMegabytes && limits.Memory <= maxMemoryMegabytes
	socketsAccepted := limits.Sockets >= minSockets && limits.Sockets <= maxCount
	if !memoryAccepted || !socketsAccepted {
		return fieldError("limits", "%g MB and %d sockets; expected at least %d MB and %d sockets",
			limits.Memory, limits.Sockets, minMemoryMegabytes, minSockets)
	}
	p.MemoryLimit = int64(limits.Memory * bytesPerMegabyte)
	p.SocketLimit = limits.Sockets
	return nil
}

// setNames reads the names and the maximum delivery delay from the settings. Peers on sockets use these
// names in load reports.
func (p *Platform) setNames(text []byte) error {
	var settings platformSettings
	if err := json.Unmarshal(text, &settings); err != nil {
		return wrapError("settings", "settings: ", err)
	}
	p.Zones = settings.Zones
	p.MaxDeliveryDelay = model.Microseconds(settings.Extra.MaxDeliveryDelay * float64(model.Millisecond))
	if p.MaxDeliveryDelay < 0 || p.MaxDeliveryDelay > maxDuration {
		return fieldError("settings", "push_delay_max of %g ms is out of range", settings.Extra.MaxDeliveryDelay)
	}
	for i, class := range settings.Classes {
		if class.Name == "" {
			return fieldError("settings", "class %d has no name", i)
		}
		p.Operations = append(p.Operations, class.Name)
	}
	p.LoadReportFields = settings.Stats.Fields
	return nil
}

func (p *Platform) setInitialEndpoints(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	list, err := platformmsg.ParseEndpointList(text)
	if err != nil {
		return wrapError("known", "known: ", err)
	}
	p.InitialEndpoints = list
	return nil
}
