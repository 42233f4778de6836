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

// Join is the first command of a proxy: JOIN name zone rate fresh life version epoch. The epoch is optional.
type Join struct {
	Name            string
	Zone            string
	ExpectedRate    float64 // requests per second that the proxy usually receives
	OnStandingTable bool    // the proxy has only its standing table
	Incarnation     uint64  // the newest of this controller that the proxy has received; 0: none
	Version         uint64  // this controller's version that the proxy has; 0: none
	Epoch           uint64  // the newest that the proxy has received; 0: none
}

// Ack acknowledges a message and all messages before it: ACK life version receipt.
type Ack struct {
	Incarnation uint64
	Version     uint64
	Sequence    int // the acknowledgement sequence of the message; -1: it has none
}

// LoadReports holds the measurements of a proxy since its previous report: SUMS number span, followed by
// "replica tries errored latency reports" for each replica.
type LoadReports struct {
	// Sequence numbers the reports of a proxy within its stream, starting from 1. A report with a number that was
	// received before is dropped.
	Sequence uint64
	Window   model.Microseconds
	// Reports have no Zone and no Window; the receiver sets them.
	Reports []model.LoadReport
}
