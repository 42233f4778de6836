package platform

import (
	"cmp"
	"fmt"
	"slices"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// maxCollectorsPerZone is how many connections one zone's collector may hold: one, and a few whose end was not seen.
// Beyond them the one that has been silent for longest is closed.
const maxCollectorsPerZone = 3

// noReading stands for a load field that a report does not have.
const noReading = -1

// registerCollector takes a zone's collector in. An error is the reason for which it is rejected.
func (s *Server) registerCollector(conn *connection, message platformmsg.Message) error {
	zone, known := s.zoneIndex(message.Zone)
	if !known {
		return fmt.Errorf("collector: there is no site %.40q", message.Zone)
	}
	s.mu.Lock()
	if !s.connections.Registered(conn) { // ended meanwhile
		s.mu.Unlock()
		return errEnded
	}
	s.authenticate(conn)
	conn.collectorZone = zone
	var replaced []*connection
	if len(s.collectors[zone]) >= maxCollectorsPerZone {
		replaced = append(replaced, slices.MinFunc(s.collectors[zone], compareLastReceived))
		s.remove(replaced...)
	}
	s.collectors[zone] = append(s.collectors[zone], conn)
	s.mu.Unlock()
	s.connections.CloseOnPoller(replaced...)
	return nil
}

// removeCollector takes a collector's connection out of its zone; s.mu is held.
func (s *Server) removeCollector(conn *connection) {
	s.collectors[conn.collectorZone] = slices.DeleteFunc(s.collectors[conn.collectorZone], func(other *connection) bool {
		return other == conn
	})
}

func compareLastReceived(a, b *connection) int {
	return cmp.Compare(a.lastReceivedAt.Load(), b.lastReceivedAt.Load())
}

// reportLoad passes a load report on. An error is why the report is dropped.
func (s *Server) reportLoad(message platformmsg.Message) error {
	zone, knownZone := s.zoneIndex(message.Zone)
	replica, knownReplica := s.config.ReplicaNames.ID(message.Replica)
	if !knownZone || !knownReplica {
		return fmt.Errorf("heard: no site %.40q, or no replica %.40q", message.Zone, message.Replica)
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

// readings are the values of Config.LoadFields, noReading where one is missing; nil if the report has none at all.
func (s *Server) readings(message platformmsg.Message) []float64 {
	if len(message.Readings) == 0 {
		return nil
	}
	values := make([]float64, 0, len(s.config.LoadFields))
	for _, field := range s.config.LoadFields {
		value := float64(noReading)
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
