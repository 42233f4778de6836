package pubsubmsg

import (
	"strconv"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

const (
	// Numbers of arguments of JOIN without and with the epoch.
	joinArgumentCountWithoutEpoch = 6
	joinArgumentCount             = 7

	// Number of arguments of ACK.
	ackArgumentCount = 3

	// Numbers of arguments of SUMS before the reports, and of each report.
	loadReportsHeaderCount  = 2
	loadReportArgumentCount = 5

	// maxExpectedRate bounds the request rate of a proxy, in requests per second.
	maxExpectedRate = 1e9

	// maxReadings bounds the readings in the load report of one replica. A reading is a value that the replica reports
	// about its load, such as its CPU utilization.
	maxReadings = 4

	// maxWindow bounds the time that load reports cover.
	maxWindow = 3600 * model.Second

	// unsignedBits bounds unsigned numbers to values that a RESP number holds.
	unsignedBits = 63
)

// ParseJoin parses the arguments of JOIN. Its error is a *ParseError.
func ParseJoin(arguments []resp.Value) (Join, error) {
	if len(arguments) != joinArgumentCountWithoutEpoch && len(arguments) != joinArgumentCount {
		return Join{}, parseErrorf("", "JOIN takes name, zone, rate, fresh, life, version and epoch; %d words came",
			len(arguments))
	}
	join := Join{
		Name:            arguments[0].ArgumentText(),
		Zone:            arguments[1].ArgumentText(),
		OnStandingTable: arguments[3].ArgumentText() == "1",
	}
	if join.Name == "" || len(join.Name) > MaxNameLength {
		return Join{}, parseErrorf("name", "JOIN: a name has 1 to %d bytes", MaxNameLength)
	}
	var err error
	rate := arguments[2].ArgumentText()
	join.ExpectedRate, err = strconv.ParseFloat(rate, 64)
	if err != nil || !(join.ExpectedRate >= 0) || join.ExpectedRate > maxExpectedRate {
		return Join{}, parseErrorf("rate", "JOIN: %.40q is no rate", rate)
	}
	if join.Incarnation, err = parseUnsigned(arguments[4]); err != nil {
		return Join{}, parseErrorf("incarnation", "JOIN: %.40q is no life's number", arguments[4].ArgumentText())
	}
	if join.Version, err = parseUnsigned(arguments[5]); err != nil {
		return Join{}, parseErrorf("version", "JOIN: %.40q is no version", arguments[5].ArgumentText())
	}
	if len(arguments) == joinArgumentCountWithoutEpoch {
		return join, nil
	}
	if join.Epoch, err = parseUnsigned(arguments[6]); err != nil {
		return Join{}, parseErrorf("epoch", "JOIN: %.40q is no epoch", arguments[6].ArgumentText())
	}
	return join, nil
}

func parseUnsigned(value resp.Value) (uint64, error) {
	return strconv.ParseUint(value.ArgumentText(), 10, unsignedBits)
}

// ParseAck parses the arguments of ACK. Its error is a *ParseError.
func ParseAck(arguments []resp.Value) (Ack, error) {
	if len(arguments) != ackArgumentCount {
		return Ack{}, parseErrorf("", "ACK takes life, version and receipt; %d words came", len(arguments))
	}
	incarnation, err := parseUnsigned(arguments[0])
	if err != nil {
		return Ack{}, ackNumberError("incarnation")
	}
	version, err := parseUnsigned(arguments[1])
	if err != nil {
		return Ack{}, ackNumberError("version")
	}
	sequence, err := strconv.Atoi(arguments[2].ArgumentText())
	if err != nil {
		return Ack{}, ackNumberError("acknowledgement sequence")
	}
	return Ack{Incarnation: incarnation, Version: version, Sequence: sequence}, nil
}

func ackNumberError(field string) *ParseError {
	return parseErrorf(field, "ACK takes three numbers")
}

// ParseLoadReports parses the arguments of SUMS. A number may arrive as a RESP number or as decimal text. Its error is
// a *ParseError.
func ParseLoadReports(arguments []resp.Value) (LoadReports, error) {
	if !hasLoadReportsArgumentCount(arguments) {
		return LoadReports{}, parseErrorf("", "SUMS takes number, span and five values a replica; %d words came",
			len(arguments))
	}
	var parser loadReportParser
	reports := LoadReports{
		Sequence: uint64(parser.number("sequence", arguments[0])),
		Window:   model.Microseconds(parser.number("window", arguments[1])),
	}
	for rest := arguments[loadReportsHeaderCount:]; len(rest) > 0; rest = rest[loadReportArgumentCount:] {
		report, err := parser.report(rest[:loadReportArgumentCount])
		if err != nil {
			return LoadReports{}, err
		}
		reports.Reports = append(reports.Reports, report)
	}
	if parser.err != nil {
		return LoadReports{}, parser.err
	}
	if reports.Window <= 0 || reports.Window > maxWindow {
		return LoadReports{}, parseErrorf("window", "SUMS: a span of %d us", reports.Window)
	}
	return reports, nil
}

func hasLoadReportsArgumentCount(arguments []resp.Value) bool {
	reportValues := len(arguments) - loadReportsHeaderCount
	return reportValues >= 0 && reportValues%loadReportArgumentCount == 0
}

// loadReportParser parses the numbers of SUMS. Its err is returned after all reports are parsed: a malformed number
// replaces it, and a report whose numbers contradict each other sets it only if it is nil.
type loadReportParser struct {
	err *ParseError
}

// number returns an integer. The error of a malformed integer replaces p.err.
func (p *loadReportParser) number(field string, value resp.Value) int64 {
	if value.Kind == resp.Number {
		return value.Int
	}
	number, err := strconv.ParseInt(value.ArgumentText(), 10, 64)
	if err != nil {
		p.err = parseErrorf(field, "SUMS: %.40q is no number", value.ArgumentText())
	}
	return number
}

// report returns the report of one replica. An error that it returns takes precedence over p.err.
func (p *loadReportParser) report(values []resp.Value) (model.LoadReport, error) {
	address := values[0].ArgumentText()
	replica, err := ParseAddress(address)
	if err != nil {
		return model.LoadReport{}, parseErrorf("replica", "SUMS: %v", err)
	}
	readings := values[4].Items
	if len(readings) > maxReadings {
		return model.LoadReport{}, parseErrorf("readings", "SUMS: a load report of %d figures, %d are taken",
			len(readings), maxReadings)
	}
	report := model.LoadReport{
		Replica:     replica,
		Attempts:    int(p.number("attempts", values[1])),
		Errors:      int(p.number("errors", values[2])),
		MeanLatency: model.Microseconds(p.number("latency", values[3])),
	}
	for _, reading := range readings {
		report.Readings = append(report.Readings, reading.Float)
	}
	if p.err == nil && !isConsistent(report) {
		p.err = parseErrorf("report", "SUMS: %s has %d tries, %d errored, %d us",
			address, report.Attempts, report.Errors, report.MeanLatency)
	}
	return report, nil
}

func isConsistent(report model.LoadReport) bool {
	return report.Attempts >= 0 && report.Errors >= 0 && report.Errors <= report.Attempts && report.MeanLatency >= 0
}
