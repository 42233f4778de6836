package simulator

import (
	"fmt"

	"peppervale/internal/model"
)

// Codes of the events that are used here.
const (
	CodeTargetInstance    = 2  // the following events are for this instance
	CodeInstanceStarted   = 3  // an instance starts
	CodeLoadReport        = 6  // a load report
	CodeEndpointsChanged  = 7  // the endpoint list, or a change to it
	CodeAcknowledged      = 8  // an acknowledgement
	CodeTimer             = 9  // a timer
	CodeInstanceKilled    = 12 // the instance has been killed
	CodeProxyConnected    = 13 // a proxy has connected
	CodeProxyDisconnected = 14 // a proxy has disconnected
)

// maxReadings is how many values a load report has room for.
const maxReadings = 4

// maxExpectedRate bounds the request rate of a proxy, in requests a second.
const maxExpectedRate = 1e9

// Event is one record of a batch. Each method but Code is for events of one code.
type Event struct{ record, tail []byte }

// Code returns the event's code.
func (e Event) Code() byte { return e.record[0] }

// fields returns a reader of the fields after the code.
func (e Event) fields() fieldReader { return fieldReader{e.record[1:]} }

// tailSection returns the section of the tail to which the next two fields point, an offset and a length; the length
// counts units of unit bytes.
func (e Event) tailSection(fields *fieldReader, unit int) ([]byte, error) {
	offset := uint64(fields.uint32())
	size := uint64(fields.uint32()) * uint64(unit)
	if offset+size > uint64(len(e.tail)) {
		return nil, fmt.Errorf("record %d points at %d+%d in a tail of %d bytes", e.Code(), offset, size, len(e.tail))
	}
	return e.tail[offset : offset+size], nil
}

// TargetInstance returns the instance that a TargetInstance names.
func (e Event) TargetInstance() uint16 {
	fields := e.fields()
	return fields.uint16()
}

// InstanceStarted returns the instance's seed and its settings as JSON text, for ParseSettings.
func (e Event) InstanceStarted() (seed uint64, settings []byte, err error) {
	fields := e.fields()
	seed = fields.uint64()
	settings, err = e.tailSection(&fields, 1)
	return seed, settings, err
}

// endpointUpdates are the kinds of a RosterChange by their numbers.
var endpointUpdates = []model.EndpointUpdate{
	model.FullList, model.ChangedEntries, model.CachedList, model.PollFailed,
}

// EndpointsChanged returns what a RosterChange reports of the endpoint list.
func (e Event) EndpointsChanged() (model.EndpointUpdate, []model.Endpoint, error) {
	fields := e.fields()
	update := int(fields.uint8())
	if update >= len(endpointUpdates) {
		return 0, nil, fmt.Errorf("list scope %d", update)
	}
	fields.skip(4) // the list's version
	section, err := e.tailSection(&fields, endpointSize)
	var endpoints []model.Endpoint
	for ; len(section) >= endpointSize; section = section[endpointSize:] {
		endpoints = append(endpoints, readEndpoint(section))
	}
	return endpointUpdates[update], endpoints, err
}

func readEndpoint(entry []byte) model.Endpoint {
	fields := fieldReader{entry}
	endpoint := model.Endpoint{ID: fields.replica(), Zone: int(fields.uint16())}
	fields.skip(3)                                         // kind of machine, cell
	endpoint.Status = model.EndpointStatus(fields.uint8()) // the numbers are the same
	fields.skip(4)                                         // size
	endpoint.StartedAt = fields.milliseconds()
	return endpoint
}

// Acknowledged returns the proxy and the acknowledgement sequence of a TookEffect.
func (e Event) Acknowledged() (proxy model.ProxyID, sequence uint32) {
	fields := e.fields()
	return model.ProxyID(fields.uint16()), fields.uint32()
}

// ProxyConnected returns the proxy of a DialledIn, the index of its zone, and its expected requests a second; 0 stands
// for a rate that is no number from 0 up to maxExpectedRate.
func (e Event) ProxyConnected() (proxy model.ProxyID, zone int, expectedRate float64) {
	fields := e.fields()
	zone = int(fields.uint16())
	fields.skip(1) // whether it is on its standing table
	expectedRate = fields.float32()
	isUsable := expectedRate >= 0 && expectedRate < maxExpectedRate
	if !isUsable {
		expectedRate = 0
	}
	return model.ProxyID(fields.uint16()), zone, expectedRate
}

// ProxyDisconnected returns the proxy of a Disconnected.
func (e Event) ProxyDisconnected() model.ProxyID {
	fields := e.fields()
	return model.ProxyID(fields.uint16())
}

// LoadReport returns what a Roundup reports: what the proxies of a zone measured at a replica.
func (e Event) LoadReport() model.LoadReport {
	fields := e.fields()
	report := model.LoadReport{
		Zone:        int(fields.uint16()),
		Replica:     fields.replica(),
		Attempts:    int(fields.uint32()),
		Errors:      int(fields.uint32()),
		MeanLatency: fields.milliseconds(),
		Window:      fields.milliseconds(),
	}
	readings := min(int(fields.uint8()), maxReadings)
	for range readings {
		report.Readings = append(report.Readings, fields.float32())
	}
	return report
}
