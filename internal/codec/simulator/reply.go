package simulator

import (
	"encoding/binary"

	"peppervale/internal/model"
)

// Codes of the actions that this package encodes. The comments give the names of the simulator's protocol.
const (
	actionSetWeight    = 1  // Assign
	actionLog          = 5  // SayLog
	actionRequestAck   = 6  // AskReceipt
	actionSetQuota     = 7  // Level
	actionSubscribe    = 9  // Follow
	actionException    = 10 // Exception
	actionSetWithdrawn = 11 // Withdraw
	actionOnBehalf     = 12 // OnBehalf
	actionSetTimer     = 13 // WakeAt
	actionBindProxy    = 14 // Install
)

// allTables is the table number of a quota that applies to all connected proxies.
const allTables = 65535

// Reply collects the actions that respond to a batch. It is the publisher of the instances' balancers. The zero Reply
// is empty and ready to use.
type Reply struct{ records, tail []byte }

var _ model.Publisher = (*Reply)(nil)

// appendAction appends a record and returns a writer of the fields after its code.
func (r *Reply) appendAction(code byte) fieldWriter {
	start := len(r.records)
	r.records = append(r.records, make([]byte, actionSize)...)
	r.records[start] = code
	return fieldWriter{r.records[start+1:]}
}

// appendTextAction appends a record and puts its text into the tail.
func (r *Reply) appendTextAction(code byte, text string) {
	fields := r.appendAction(code)
	fields.uint32(uint32(len(r.tail)))
	fields.uint32(uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// Empty reports whether there are no actions.
func (r *Reply) Empty() bool { return len(r.records) == 0 }

// SetSourceInstance attributes the actions that follow to an instance.
func (r *Reply) SetSourceInstance(instance uint16) {
	fields := r.appendAction(actionOnBehalf)
	fields.uint16(instance)
}

// Exception reports that an instance has failed; the simulation ends and shows the message.
func (r *Reply) Exception(message string) { r.appendTextAction(actionException, message) }

// Log implements model.Publisher.
func (r *Reply) Log(message string) { r.appendTextAction(actionLog, message) }

// Subscribe implements model.Publisher.
func (r *Reply) Subscribe() {
	fields := r.appendAction(actionSubscribe)
	fields.bool(true)
}

// SetWeight implements model.Publisher.
func (r *Reply) SetWeight(table model.TableID, replica model.ReplicaID, weight float64) {
	fields := r.appendAction(actionSetWeight)
	fields.uint16(uint16(table))
	fields.float32(weight)
	fields.replica(replica)
}

// BindProxy implements model.Publisher. The simulator's proxies drop the withdrawals of other controllers when they are
// bound, so the readmitted replicas are not sent.
func (r *Reply) BindProxy(proxy model.ProxyID, table model.TableID, operations uint16, _ []model.ReplicaID) {
	fields := r.appendAction(actionBindProxy)
	fields.uint16(uint16(proxy))
	fields.uint16(uint16(table))
	fields.uint16(operations)
}

// SetWithdrawn implements model.Publisher.
func (r *Reply) SetWithdrawn(replica model.ReplicaID, withdrawn bool) {
	fields := r.appendAction(actionSetWithdrawn)
	fields.replica(replica)
	fields.bool(withdrawn)
}

// SetQuota implements model.Publisher.
func (r *Reply) SetQuota(operations uint16, quota float64, policy model.RetryPolicy) {
	fields := r.appendAction(actionSetQuota)
	fields.uint16(allTables)
	fields.uint16(operations)
	fields.float32(quota)
	fields.uint8(uint8(policy))
}

// RequestAck implements model.Publisher. The protocol cannot address single proxies, so there are no recipients.
func (r *Reply) RequestAck(sequence uint32, fromAll bool, _ []model.ProxyID) {
	fields := r.appendAction(actionRequestAck)
	fields.bool(fromAll)
	fields.uint32(sequence)
}

// SetTimer implements model.Publisher.
func (r *Reply) SetTimer(delay model.Microseconds) {
	fields := r.appendAction(actionSetTimer)
	fields.milliseconds(delay)
}

// Append appends the actions of another reply and does not modify it. The texts of the other reply follow the texts of
// this one.
func (r *Reply) Append(other *Reply) {
	start := len(r.records)
	r.records = append(r.records, other.records...)
	for ; start < len(r.records); start += actionSize {
		record := r.records[start : start+actionSize]
		if hasText(record[0]) {
			offset := binary.LittleEndian.Uint32(record[1:])
			binary.LittleEndian.PutUint32(record[1:], offset+uint32(len(r.tail)))
		}
	}
	r.tail = append(r.tail, other.tail...)
}

func hasText(code byte) bool { return code == actionLog || code == actionException }
