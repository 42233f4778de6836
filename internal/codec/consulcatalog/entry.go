package consulcatalog

// ServiceEntry is one element of the response of /v1/health/service/NAME. Keys that are not used are omitted.
type ServiceEntry struct {
	Node    Node    `json:"Node"`
	Service Service `json:"Service"`
	Checks  []Check `json:"Checks"`
}

// Node is the machine that runs an instance of the service.
type Node struct {
	Node    string `json:"Node"`
	Address string `json:"Address"`
}

// Service is an instance of the service. An empty Address means the address of the node.
type Service struct {
	ID      string            `json:"ID"`
	Service string            `json:"Service"`
	Address string            `json:"Address"`
	Port    int               `json:"Port"`
	Meta    map[string]string `json:"Meta"`
}

// Check is one health check of an instance.
type Check struct {
	Node    string `json:"Node"`
	CheckID string `json:"CheckID"`
	Name    string `json:"Name"`
	Status  string `json:"Status"`
}

// address returns the address at which the instance serves, without its port.
func (e *ServiceEntry) address() string {
	if e.Service.Address != "" {
		return e.Service.Address
	}
	return e.Node.Address
}
