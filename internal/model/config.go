package model

// Config is the configuration of the balancer.
type Config struct {
	// The instance and its fleet.
	Seed                  uint64      // seed of this instance's random numbers
	Operations            []Operation // 1 to MaxOperations
	ZoneLocalOperations   uint16      // mask of the operations that only go to replicas of the proxy's own zone
	Zones                 int         // number of zones; a zone is identified by its index
	ProxyCount            int         // proxies of all controllers together; 0: unknown
	MinReplicaConnections int         // connections that the smallest replica accepts

	// Endpoint discovery and load reports.
	SubscriptionRequired bool         // the endpoint list is only sent to subscribers
	WarmUpPeriod         Microseconds // time after its start until a replica has its full capacity
	ReportPeriod         Microseconds // interval at which load reports are collected
	UtilizationField     int          // index of the CPU utilization (0 to 1) in LoadReport.Readings; -1: not reported

	// The proxies.
	AdmissionControl    bool    // they apply admission quotas
	FullQuota           float64 // quota that admits all requests; quotas are fractions or rates
	ProxiesAvoidFailing bool    // they avoid a replica for some seconds after repeated failures there
	StandingTableSize   int     // maximum entries of the table that a proxy starts with

	// The send window. An entry of a message costs 1.
	MessageOverhead int          // cost of a message in addition to its entries, in entries
	QueueLimit      int          // entries that may be queued for sending
	MessageLimit    int          // messages to one proxy within MessageWindow; 0: no limit
	MessageWindow   Microseconds // period that MessageLimit applies to
	PartialDelivery bool         // an update can be sent to some of the proxies that it concerns now, to others later

	// Costs, as fractions of the total value of the requests served.
	CrossZoneCost float64 // cost of sending every request to another zone
	PublishCost   float64 // cost of using the whole send window all the time
}
