package platformmsg

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"peppervale/internal/codec/resp"
)

// Bounds of the lists of an update. A part within them is far below the 1 MiB that a proxy accepts.
const (
	maxEntries         = 2000
	maxOperationTables = 2
	maxQuotas          = 32
)

const (
	// weightDecimals is the number of decimals of weights and shares.
	weightDecimals = 5

	// minWeight is the text of the smallest weight above 0. Smaller positive weights are rounded up to it, because
	// weight 0 removes an entry.
	minWeight = "0.00001"
)

// AppendPong appends the response to a ping.
func AppendPong(dst []byte) []byte {
	return resp.AppendCommand(dst, string(kindPong))
}

// AppendRejection appends the response to a client that is rejected. The reason is truncated to 40 bytes.
func AppendRejection(dst []byte, reason string) []byte {
	return resp.AppendCommand(dst, string(kindRejected), "why", truncate(reason))
}

// Append appends an update as several parts: one for all operations, and one for each operation table and each quota,
// since tables and quotas apply to the operations of their part. It returns an error and appends nothing if a list is
// too long.
func (u *Update) Append(dst []byte) ([]byte, error) {
	if !u.fits() {
		return dst, fmt.Errorf("update exceeds the limits of a message: %d entries, %d withdrawn, %d readmitted, %d quotas",
			len(u.Entries), len(u.Withdrawn), len(u.Readmitted), len(u.Quotas))
	}
	parts := u.parts()
	for i, part := range parts {
		words := append([]string{"update"}, part...)
		if i < len(parts)-1 {
			words = append(words, "more", "1")
		}
		dst = resp.AppendCommand(dst, words...)
	}
	return dst, nil
}

func (u *Update) fits() bool {
	tooLong := func(table OperationTable) bool { return len(table.Entries) > maxEntries }
	return len(u.Entries) <= maxEntries &&
		len(u.Withdrawn) <= maxEntries &&
		len(u.Readmitted) <= maxEntries &&
		len(u.Quotas) <= maxQuotas &&
		len(u.OperationTables) <= maxOperationTables &&
		!slices.ContainsFunc(u.OperationTables, tooLong)
}

// parts returns the fields of each part: the part for all operations if it has any fields, then the operation tables,
// then the quotas. There is at least one part; the last one has the acknowledgement sequence.
func (u *Update) parts() [][]string {
	var parts [][]string
	if common := u.commonFields(); len(common) > 0 {
		parts = append(parts, common)
	}
	for _, table := range u.OperationTables {
		operations := []string{"classes", strings.Join(table.Operations, "+")}
		parts = append(parts, append(operations, tableFields(table.Full, table.Entries)...))
	}
	for _, quota := range u.Quotas {
		parts = append(parts, quota.fields())
	}
	if len(parts) == 0 {
		parts = append(parts, nil)
	}
	if u.AckSequence >= 0 {
		last := len(parts) - 1
		parts[last] = append(parts[last], "ticket", strconv.Itoa(u.AckSequence))
	}
	return parts
}

// commonFields returns the fields that apply to all operations.
func (u *Update) commonFields() []string {
	fields := tableFields(u.Full, u.Entries)
	if len(u.Withdrawn) > 0 {
		fields = append(fields, "out", strings.Join(u.Withdrawn, ","))
	}
	if len(u.Readmitted) > 0 {
		fields = append(fields, "back", strings.Join(u.Readmitted, ","))
	}
	return fields
}

func tableFields(full bool, entries []Entry) []string {
	var fields []string
	if full {
		fields = append(fields, "whole", "1")
	}
	if len(entries) > 0 {
		fields = append(fields, "lines", formatEntries(entries))
	}
	return fields
}

func (q Quota) fields() []string {
	fields := []string{"level", formatWeight(q.Share), "retry", strconv.Itoa(int(q.RetryPolicy))}
	if q.Operation == "" {
		return fields
	}
	return append([]string{"classes", q.Operation}, fields...)
}

// formatEntries returns entries in the form replica:weight,replica:weight.
func formatEntries(entries []Entry) string {
	var text strings.Builder
	for i, entry := range entries {
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(entry.Replica)
		text.WriteByte(':')
		text.WriteString(formatWeight(entry.Weight))
	}
	return text.String()
}

// formatWeight returns a weight or a share without an exponent and without trailing zeros.
func formatWeight(weight float64) string {
	text := strconv.FormatFloat(weight, 'f', weightDecimals, 64)
	text = strings.TrimRight(text, "0")
	text = strings.TrimSuffix(text, ".")
	if weight > 0 && text == "0" {
		return minWeight
	}
	return text
}
