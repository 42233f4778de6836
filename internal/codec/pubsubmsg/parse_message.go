package pubsubmsg

import (
	"math"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// Parse parses a push for which IsMessage returns true. Its error is a *ParseError.
func Parse(value resp.Value) (*Message, error) {
	values := value.Items
	if !IsMessage(value) || len(values) != messageLength || values[valueEpoch].Int < 0 {
		return nil, parseErrorf("", "a table message has %d values, this push has %d", messageLength, len(values))
	}
	for i := valueIncarnation; i <= valueAckSequence; i++ {
		if values[i].Kind != resp.Number || values[i].Int < -1 {
			return nil, parseErrorf(fieldNames[i], "value %d of a table message must be a number of at least -1", i)
		}
	}
	if !listsAreComplete(values) {
		return nil, parseErrorf("lists", "an entry, withdrawal or quota of a table message is incomplete")
	}
	entries, err := parseEntries(values[valueEntries].Items)
	if err != nil {
		return nil, err
	}
	withdrawals, err := parseWithdrawals(values[valueWithdrawals].Items)
	if err != nil {
		return nil, err
	}
	quotas, err := parseQuotas(values[valueQuotas].Items)
	if err != nil {
		return nil, err
	}
	return &Message{
		Full:            values[valueKind].Text == kindSnapshot,
		Incarnation:     uint64(values[valueIncarnation].Int),
		PreviousVersion: uint64(values[valuePreviousVersion].Int),
		Version:         uint64(values[valueVersion].Int),
		UpdatedAt:       model.Microseconds(values[valueUpdatedAt].Int),
		Cost:            int(values[valueCost].Int),
		AckSequence:     int(values[valueAckSequence].Int),
		Bound:           values[valueBound].Bool,
		Table:           model.TableID(values[valueTable].Int),
		Entries:         entries,
		Withdrawals:     withdrawals,
		Quotas:          quotas,
		Epoch:           uint64(values[valueEpoch].Int),
	}, nil
}

// fieldNames holds the names of the numeric values of a push, for ParseError.
var fieldNames = map[int]string{
	valueIncarnation:     "incarnation",
	valuePreviousVersion: "previous version",
	valueVersion:         "version",
	valueUpdatedAt:       "time",
	valueCost:            "cost",
	valueAckSequence:     "acknowledgement sequence",
}

// listsAreComplete reports whether each element of the lists has all its values.
func listsAreComplete(values []resp.Value) bool {
	return len(values[valueEntries].Items)%entryLength == 0 &&
		len(values[valueWithdrawals].Items)%withdrawalLength == 0 &&
		len(values[valueQuotas].Items)%quotaLength == 0
}

func parseEntries(values []resp.Value) ([]Entry, error) {
	var entries []Entry
	for i := 0; i < len(values); i += entryLength {
		replica, err := ParseAddress(values[i].Text)
		weight := values[i+1].Float
		if err != nil || !isFiniteWeight(weight) {
			return nil, parseErrorf("entry", "entry %d of a table message: address error %v, weight %v",
				i/entryLength, err, weight)
		}
		entries = append(entries, Entry{Replica: replica, Weight: weight})
	}
	return entries, nil
}

func isFiniteWeight(weight float64) bool {
	return weight >= 0 && !math.IsInf(weight, 0)
}

func parseWithdrawals(values []resp.Value) ([]Withdrawal, error) {
	var withdrawals []Withdrawal
	for i := 0; i < len(values); i += withdrawalLength {
		replica, err := ParseAddress(values[i].Text)
		if err != nil {
			return nil, err
		}
		withdrawals = append(withdrawals, Withdrawal{Replica: replica, Withdrawn: values[i+1].Bool})
	}
	return withdrawals, nil
}

func parseQuotas(values []resp.Value) ([]Quota, error) {
	var quotas []Quota
	for i := 0; i < len(values); i += quotaLength {
		quota := Quota{
			Operations:  uint16(values[i].Int),
			Share:       values[i+1].Float,
			RetryPolicy: model.RetryPolicy(values[i+2].Int),
		}
		if !(quota.Share >= 0) || quota.RetryPolicy > model.RetryTwiceOnAnyFailure {
			return nil, parseErrorf("quota", "quota %d of a table message: share %v, retry policy %d",
				i/quotaLength, quota.Share, quota.RetryPolicy)
		}
		quotas = append(quotas, quota)
	}
	return quotas, nil
}
