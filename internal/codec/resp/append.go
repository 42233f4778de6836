package resp

import (
	"math"
	"strconv"
)

// AppendHeader appends the header of an aggregate or a string: its kind and its length. The length of a Map counts
// pairs.
func AppendHeader(dst []byte, kind Kind, length int) []byte {
	dst = append(dst, byte(kind))
	dst = strconv.AppendInt(dst, int64(length), 10)
	return append(dst, lineEnd...)
}

// AppendBulk appends a bulk string.
func AppendBulk(dst []byte, text string) []byte {
	return appendBlob(dst, BulkString, text)
}

// appendBlob appends a string that is preceded by its length.
func appendBlob(dst []byte, kind Kind, text string) []byte {
	dst = AppendHeader(dst, kind, len(text))
	dst = append(dst, text...)
	return append(dst, lineEnd...)
}

// AppendLine appends a SimpleString, a SimpleError or a BigNumber. Carriage returns and line feeds in the text become
// spaces.
func AppendLine(dst []byte, kind Kind, text string) []byte {
	dst = append(dst, byte(kind))
	for i := range len(text) {
		char := text[i]
		if char == '\r' || char == '\n' {
			char = ' '
		}
		dst = append(dst, char)
	}
	return append(dst, lineEnd...)
}

// AppendInt appends a Number.
func AppendInt(dst []byte, value int64) []byte {
	dst = append(dst, byte(Number))
	dst = strconv.AppendInt(dst, value, 10)
	return append(dst, lineEnd...)
}

// AppendDouble appends a Double: the shortest form that decodes to the same value, or inf, -inf or nan.
func AppendDouble(dst []byte, value float64) []byte {
	dst = append(dst, byte(Double))
	switch {
	case math.IsInf(value, 1):
		dst = append(dst, "inf"...)
	case math.IsInf(value, -1):
		dst = append(dst, "-inf"...)
	case math.IsNaN(value):
		dst = append(dst, "nan"...)
	default:
		dst = strconv.AppendFloat(dst, value, 'g', -1, 64)
	}
	return append(dst, lineEnd...)
}

// AppendBool appends a Bool.
func AppendBool(dst []byte, value bool) []byte {
	if value {
		return append(dst, "#t\r\n"...)
	}
	return append(dst, "#f\r\n"...)
}

// AppendNull appends a Null.
func AppendNull(dst []byte) []byte {
	return append(dst, "_\r\n"...)
}

// AppendCommand appends a command as clients send it: an array of bulk strings.
func AppendCommand(dst []byte, arguments ...string) []byte {
	dst = AppendHeader(dst, Array, len(arguments))
	for _, argument := range arguments {
		dst = AppendBulk(dst, argument)
	}
	return dst
}

// Append appends a value of any kind that a Reader delivers.
func Append(dst []byte, value Value) []byte {
	switch value.Kind {
	case SimpleString, SimpleError, BigNumber:
		return AppendLine(dst, value.Kind, value.Text)
	case Number:
		return AppendInt(dst, value.Int)
	case Double:
		return AppendDouble(dst, value.Float)
	case Bool:
		return AppendBool(dst, value.Bool)
	case Null:
		return AppendNull(dst)
	case BulkString, BlobError, VerbatimString:
		return appendBlob(dst, value.Kind, value.Text)
	default:
		return appendAggregate(dst, value)
	}
}

func appendAggregate(dst []byte, value Value) []byte {
	length := len(value.Items)
	if value.Kind == Map {
		length /= 2
	}
	dst = AppendHeader(dst, value.Kind, length)
	for _, item := range value.Items {
		dst = Append(dst, item)
	}
	return dst
}
