package simulator

import (
	"encoding/binary"

	"peppervale/internal/model"
)

// Codes of the actions that are used here.
const (
	actionAssign     = 1
	actionSayLog     = 5
	actionAskReceipt = 6
	actionLevel      = 7
	actionFollow     = 9
	actionException  = 10
	actionWithdraw   = 11
	actionOnBehalf   = 12
	actionWakeAt     = 13
	actionInstall    = 14
)

// allTables stands for a table in a Level that is for all connected proxies.
const allTables = 65535

// Reply gathers the actions that answer a batch. It is the publisher of the instances' balancers. The zero Reply is
// empty.
type Reply struct{ records, tail []byte }

var _ model.Publisher = (*Reply)(nil)

// action adds a record and returns a writer of the fields after its code.
func (r *Reply) action(code byte) fieldWriter {
	start := len(r.records)
	r.records = append(r.records, make([]byte, actionSize)...)
	r.records[start] = code
	return fieldWriter{r.records[start+1:]}
}

// textAction adds a record with a text, which goes into the tail.
func (r *Reply) textAction(code byte, text string) {
	fields := r.action(code)
	fields.uint32(uint32(len(r.tail)))
	fields.uint32(uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// Empty reports whether there are no actions.
func (r *Reply) Empty() bool { return len(r.records) == 0 }

// OnBehalf attributes the actions that follow to an instance.
func (r *Reply) OnBehalf(instance uint16) {
	fields := r.action(actionOnBehalf)
	fields.uint16(instance)
}

// Exception reports that an instance has failed; the simulation ends with this text.
func (r *Reply) Exception(message string) { r.textAction(actionException, message) }

// Log implements model.Publisher.
func (r *Reply) Log(message string) { r.textAction(actionSayLog, message) }

// Subscribe implements model.Publisher.
func (r *Reply) Subscribe() {
	fields := r.action(actionFollow)
	fields.bool(true)
}

// SetWeight implements model.Publisher.
func (r *Reply) SetWeight(table model.TableID, replica model.ReplicaID, weight float64) {
	fields := r.action(actionAssign)
	fields.uint16(uint16(table))
	fields.float32(weight)
	fields.replica(replica)
}

// BindProxy implements model.Publisher. The simulator's proxies forget the withdrawals of other controllers as they are
// bound, so they are not notified of readmitted replicas.
func (r *Reply) BindProxy(proxy model.ProxyID, table model.TableID, operations uint16, _ []model.ReplicaID) {
	fields := r.action(actionInstall)
	fields.uint16(uint16(proxy))
	fields.uint16(uint16(table))
	fields.uint16(operations)
}

// SetWithdrawn implements model.Publisher.
func (r *Reply) SetWithdrawn(replica model.ReplicaID, withdrawn bool) {
	fields := r.action(actionWithdraw)
	fields.replica(replica)
	fields.bool(withdrawn)
}

// SetQuota implements model.Publisher.
func (r *Reply) SetQuota(operations uint16, quota float64, policy model.RetryPolicy) {
	fields := r.action(actionLevel)
	fields.uint16(allTables)
	fields.uint16(operations)
	fields.float32(quota)
	fields.uint8(uint8(policy))
}

// RequestAck implements model.Publisher.
func (r *Reply) RequestAck(sequence uint32, fromAll bool) {
	fields := r.action(actionAskReceipt)
	fields.bool(fromAll)
	fields.uint32(sequence)
}

// SetTimer implements model.Publisher.
func (r *Reply) SetTimer(delay model.Microseconds) {
	fields := r.action(actionWakeAt)
	fields.milliseconds(delay)
}

// Append adds another reply's actions, which stays as it is. Their text offsets are moved behind the texts of this
// reply.
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

func hasText(code byte) bool { return code == actionSayLog || code == actionException }
