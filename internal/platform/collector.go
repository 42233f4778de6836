package platform

import (
	"cmp"
	"fmt"
	"slices"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// maxCollectorsPerZone is how many connections one zone's collector may hold: the one in use, and a few stale ones
// whose end the server has not detected. At the limit, the connection that has been silent for longest is closed.
const maxCollectorsPerZone = 3

// missingReading is the value of a load field that is missing from a report.
const missingReading = -1

// registerCollector registers a zone's collector. An error is the reason for its rejection.
func (s *Server) registerCollector(conn *connection, message platformmsg.Message) error {
	zone, known := s.zoneIndex(message.Zone)
	if !known {
		return fmt.Errorf("collector: there is no site %.40q", message.Zone)
	}
	s.mu.Lock()
	if !s.connections.Registered(conn) { // ended in the meantime
		s.mu.Unlock()
		return errEnded
	}
	s.markJoined(conn)
	conn.collectorZone = zone
	var replacedConnections []*connection
	if len(s.collectors[zone]) >= maxCollectorsPerZone {
		replacedConnections = append(replacedConnections, slices.MinFunc(s.collectors[zone], compareLastReceived))
		s.unregister(replacedConnections...)
	}
	s.collectors[zone] = append(s.collectors[zone], conn)
	s.mu.Unlock()
	s.connections.CloseOnPoller(replacedConnections...)
	return nil
}

// removeCollector removes a collector's connection from its zone; s.mu is held.
func (s *Server) removeCollector(conn *connection) {
	s.collectors[conn.collectorZone] = slices.DeleteFunc(s.collectors[conn.collectorZone], func(other *connection) bool {
		return other == conn
	})
}

func compareLastReceived(a, b *connection) int {
	return cmp.Compare(a.lastReceivedAt.Load(), b.lastReceivedAt.Load())
}

// reportLoad forwards a load report to the controller. An error is the reason why the report is dropped.
func (s *Server) reportLoad(message platformmsg.Message) error {
	zone, knownZone := s.zoneIndex(message.Zone)
	replica, knownReplica := s.config.ReplicaNames.ID(message.Replica)
	if !knownZone || !knownReplica {
		return fmt.Errorf("load report: unknown site %.40q or unknown replica %.40q", message.Zone, message.Replica)
	}
	report := model.LoadReport{
		Zone:        zone,
		Replica:     replica,
		Attempts:    message.Attempts,
		Errors:      message.Errors,
		MeanLatency: message.MeanLatency,
		Window:      message.Window,
		Readings:    s.readings(message),
	}
	s.mu.Lock()
	s.stats.LoadReports++
	s.stats.Attempts += uint64(message.Attempts)
	s.events.LoadReported(zone, []model.LoadReport{report})
	s.mu.Unlock()
	return nil
}

// readings returns the values of Config.LoadFields, with missingReading for missing ones, or nil if the report has
// none.
func (s *Server) readings(message platformmsg.Message) []float64 {
	if len(message.Readings) == 0 {
		return nil
	}
	values := make([]float64, 0, len(s.config.LoadFields))
	for _, field := range s.config.LoadFields {
		value := float64(missingReading)
		for _, reading := range message.Readings {
			if reading.Name == field {
				value = reading.Value
				break
			}
		}
		values = append(values, value)
	}
	return values
}
