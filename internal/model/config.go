package model

// Config is what the balancer is configured with.
type Config struct {
	// The instance and its fleet.
	Seed                  uint64      // of this instance's random numbers
	Operations            []Operation // 1 to MaxOperations
	ZoneLocalOperations   uint16      // mask of the operations that only go to replicas of the proxy's own zone
	Zones                 int         // how many there are; a zone is named by its index
	ProxyCount            int         // proxies of all controllers together; 0: unknown
	MinReplicaConnections int         // connections that the smallest replica accepts

	// Endpoint discovery and load reports.
	SubscriptionRequired bool         // the endpoint list is sent to subscribers only
	WarmUpPeriod         Microseconds // after its start within which a replica reaches its full capacity
	ReportPeriod         Microseconds // at which load reports are gathered
	UtilizationField     int          // index of the CPU utilization (0 to 1) in LoadReport.Readings; -1: not reported

	// The proxies.
	AdmissionControl    bool    // they honour admission quotas
	FullQuota           float64 // the quota that admits everything, be quotas fractions or rates
	ProxiesAvoidFailing bool    // they avoid a replica for some seconds after repeated failures there
	StandingTableSize   int     // most entries of the table that a proxy starts with

	// The send window. An entry of a message costs 1.
	MessageOverhead int          // cost of a message beyond its entries, in entries
	QueueLimit      int          // entries that may wait to be sent
	MessageLimit    int          // messages to one proxy within MessageWindow; 0: no limit
	MessageWindow   Microseconds // that MessageLimit counts over

	// Costs, as fractions of the total value of the requests served.
	CrossZoneCost float64 // of sending every request to another zone
	PublishCost   float64 // of using the send window to the full all the time
}
