package pubsubmsg

import (
	"strconv"

	"peppervale/internal/codec/resp"
)

// Append appends a message as a push.
func Append(dst []byte, message *Message) []byte {
	kind := kindChange
	if message.Full {
		kind = kindSnapshot
	}
	dst = resp.AppendHeader(dst, resp.Push, messageLength)
	dst = resp.AppendBulk(dst, kind)
	dst = resp.AppendInt(dst, int64(message.Incarnation))
	dst = resp.AppendInt(dst, int64(message.PreviousVersion))
	dst = resp.AppendInt(dst, int64(message.Version))
	dst = resp.AppendInt(dst, int64(message.UpdatedAt))
	dst = resp.AppendInt(dst, int64(message.Cost))
	dst = resp.AppendInt(dst, int64(message.AckSequence))
	dst = resp.AppendBool(dst, message.Bound)
	dst = resp.AppendInt(dst, int64(message.Table))
	dst = appendEntries(dst, message.Entries)
	dst = appendWithdrawals(dst, message.Withdrawals)
	dst = appendQuotas(dst, message.Quotas)
	return resp.AppendInt(dst, int64(message.Epoch))
}

func appendEntries(dst []byte, entries []Entry) []byte {
	dst = resp.AppendHeader(dst, resp.Array, entryLength*len(entries))
	for _, entry := range entries {
		dst = resp.AppendBulk(dst, FormatAddress(entry.Replica))
		dst = resp.AppendDouble(dst, entry.Weight)
	}
	return dst
}

func appendWithdrawals(dst []byte, withdrawals []Withdrawal) []byte {
	dst = resp.AppendHeader(dst, resp.Array, withdrawalLength*len(withdrawals))
	for _, withdrawal := range withdrawals {
		dst = resp.AppendBulk(dst, FormatAddress(withdrawal.Replica))
		dst = resp.AppendBool(dst, withdrawal.Withdrawn)
	}
	return dst
}

func appendQuotas(dst []byte, quotas []Quota) []byte {
	dst = resp.AppendHeader(dst, resp.Array, quotaLength*len(quotas))
	for _, quota := range quotas {
		dst = resp.AppendInt(dst, int64(quota.Operations))
		dst = resp.AppendDouble(dst, quota.Share)
		dst = resp.AppendInt(dst, int64(quota.RetryPolicy))
	}
	return dst
}

// AppendJoin appends a JOIN command.
func AppendJoin(dst []byte, join Join) []byte {
	onStandingTable := "0"
	if join.OnStandingTable {
		onStandingTable = "1"
	}
	return resp.AppendCommand(dst, commandJoin,
		join.Name,
		join.Zone,
		strconv.FormatFloat(join.ExpectedRate, 'g', -1, 64),
		onStandingTable,
		strconv.FormatUint(join.Incarnation, 10),
		strconv.FormatUint(join.Version, 10),
		strconv.FormatUint(join.Epoch, 10),
	)
}

// AppendAck appends an ACK command.
func AppendAck(dst []byte, ack Ack) []byte {
	return resp.AppendCommand(dst, commandAck,
		strconv.FormatUint(ack.Incarnation, 10),
		strconv.FormatUint(ack.Version, 10),
		strconv.Itoa(ack.Sequence),
	)
}

// AppendLoadReports appends a SUMS command. Times are in microseconds.
func AppendLoadReports(dst []byte, reports LoadReports) []byte {
	dst = resp.AppendHeader(dst, resp.Array, 1+loadReportsHeaderCount+loadReportArgumentCount*len(reports.Reports))
	dst = resp.AppendBulk(dst, commandLoadReports)
	dst = resp.AppendInt(dst, int64(reports.Sequence))
	dst = resp.AppendInt(dst, int64(reports.Window))
	for _, report := range reports.Reports {
		dst = resp.AppendBulk(dst, FormatAddress(report.Replica))
		dst = resp.AppendInt(dst, int64(report.Attempts))
		dst = resp.AppendInt(dst, int64(report.Errors))
		dst = resp.AppendInt(dst, int64(report.MeanLatency))
		dst = resp.AppendHeader(dst, resp.Array, len(report.Readings))
		for _, reading := range report.Readings {
			dst = resp.AppendDouble(dst, reading)
		}
	}
	return dst
}
