package http1

import (
	"net/http"
	"strconv"
)

// reasonPhrases follows RFC 9110; package net/http has older phrases for some statuses.
var reasonPhrases = map[int]string{
	http.StatusOK:                          "OK",
	http.StatusBadRequest:                  "Bad Request",
	http.StatusNotFound:                    "Not Found",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusTooManyRequests:             "Too Many Requests",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusInternalServerError:         "Internal Server Error",
	http.StatusNotImplemented:              "Not Implemented",
	http.StatusServiceUnavailable:          "Service Unavailable",
	http.StatusHTTPVersionNotSupported:     "HTTP Version Not Supported",
}

// AppendRequest appends a request. Names and values alternate in fields. Requests of all methods except GET have a
// Content-Length field.
func AppendRequest(dst []byte, method, target, host string, body []byte, fields ...string) []byte {
	dst = append(dst, method+" "+target+" HTTP/1.1\r\nHost: "+host+lineEnd...)
	return appendFieldsAndBody(dst, body, method != http.MethodGet, fields)
}

// AppendResponse appends a response with a Content-Length field. Names and values alternate in fields.
func AppendResponse(dst []byte, status int, body []byte, fields ...string) []byte {
	dst = append(dst, "HTTP/1.1 "+strconv.Itoa(status)+" "+reasonPhrases[status]+lineEnd...)
	return appendFieldsAndBody(dst, body, true, fields)
}

func appendFieldsAndBody(dst, body []byte, withLength bool, fields []string) []byte {
	for i := 0; i+1 < len(fields); i += 2 {
		dst = append(dst, fields[i]+": "+fields[i+1]+lineEnd...)
	}
	if withLength {
		dst = append(dst, "Content-Length: "+strconv.Itoa(len(body))+lineEnd...)
	}
	dst = append(dst, lineEnd...)
	return append(dst, body...)
}
