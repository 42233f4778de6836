package pubsubmsg

import "peppervale/internal/model"

// Names of the commands.
const (
	commandJoin        = "JOIN"
	commandAck         = "ACK"
	commandLoadReports = "SUMS"
)

// MaxNameLength bounds the names of proxies, in bytes.
const MaxNameLength = 128

// Join is the first command of a proxy: JOIN name zone rate fresh life version epoch. The epoch may be omitted.
type Join struct {
	Name            string
	Zone            string
	ExpectedRate    float64 // requests per second that the proxy usually receives
	OnStandingTable bool    // the proxy holds its standing table only
	Incarnation     uint64  // of this controller, as the proxy last saw it; 0: never
	Version         uint64  // of this controller that the proxy holds; 0: none
	Epoch           uint64  // the newest that the proxy has seen; 0: none
}

// Ack acknowledges a message and all messages before it: ACK life version receipt.
type Ack struct {
	Incarnation uint64
	Version     uint64
	Sequence    int // the acknowledgement sequence of the message; -1: it has none
}

// LoadReports is what a proxy measured since its previous report: SUMS number span, then for each replica
// replica tries errored latency reports.
type LoadReports struct {
	// Sequence counts the reports of a proxy within its stream from 1. A report whose number came before is
	// dropped.
	Sequence uint64
	Window   model.Microseconds
	// Reports have no Zone and no Window; the receiver sets them.
	Reports []model.LoadReport
}
