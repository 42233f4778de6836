package benchmark

import (
	"io"
	"net"
	"time"
)

// ackSize is the size of an acknowledgement in bytes.
const ackSize = 46

// RawCost is the cost of messages and their acknowledgements over plain sockets.
type RawCost struct {
	Median        time.Duration // duration of a round, from the first write to the last answer
	CPUPerMessage time.Duration // of sender and receiver
}

// rawSockets holds both ends of the connections. Each receiver answers the messages of its sender.
type rawSockets struct {
	senders   []net.Conn
	receivers []net.Conn
	answers   chan struct{}
}

// measureRawSockets writes a message of the given size in bytes to each connection in each round and waits for all
// answers. An answer has the size of an acknowledgement, but at most that of the message.
func measureRawSockets(connections, messageSize, rounds int) (RawCost, error) {
	sockets := &rawSockets{answers: make(chan struct{}, connections)}
	defer sockets.close()
	if err := sockets.connect(connections, messageSize); err != nil {
		return RawCost{}, err
	}
	message := make([]byte, messageSize)
	cpuBefore := cpuTime()
	var durations []time.Duration
	for range rounds {
		started := time.Now()
		if err := sockets.exchange(message); err != nil {
			return RawCost{}, err
		}
		durations = append(durations, time.Since(started))
	}
	median, _ := medianAndP99(durations)
	return RawCost{Median: median, CPUPerMessage: (cpuTime() - cpuBefore) / time.Duration(connections*rounds)}, nil
}

func (s *rawSockets) connect(connections, messageSize int) error {
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	for range connections {
		receiver, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			return err
		}
		s.receivers = append(s.receivers, receiver)
		sender, err := listener.Accept()
		if err != nil {
			return err
		}
		s.senders = append(s.senders, sender)
		go answerMessages(receiver, messageSize)
		go s.readAnswers(sender, min(ackSize, messageSize))
	}
	return nil
}

// answerMessages answers each message until the connection is closed.
func answerMessages(connection net.Conn, messageSize int) {
	message := make([]byte, messageSize)
	for {
		if _, err := io.ReadFull(connection, message); err != nil {
			return
		}
		if _, err := connection.Write(message[:min(ackSize, messageSize)]); err != nil {
			return
		}
	}
}

func (s *rawSockets) readAnswers(connection net.Conn, answerSize int) {
	answer := make([]byte, answerSize)
	for {
		if _, err := io.ReadFull(connection, answer); err != nil {
			return
		}
		s.answers <- struct{}{}
	}
}

// exchange writes the message to all connections and waits for all answers.
func (s *rawSockets) exchange(message []byte) error {
	for _, sender := range s.senders {
		if _, err := sender.Write(message); err != nil {
			return err
		}
	}
	for range s.senders {
		<-s.answers
	}
	return nil
}

func (s *rawSockets) close() {
	for _, connection := range s.senders {
		_ = connection.Close()
	}
	for _, connection := range s.receivers {
		_ = connection.Close()
	}
}
