package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// encode returns a RESP2 array of bulk strings.
func encode(words ...string) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return []byte(text.String())
}

// decode reads one RESP2 array of bulk strings.
func decode(r *bufio.Reader) ([]string, error) {
	count, err := header(r, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, 0, count)
	for range count {
		length, err := header(r, '$')
		if err != nil {
			return nil, err
		}
		bytes := make([]byte, length+2)
		if _, err := io.ReadFull(r, bytes); err != nil {
			return nil, err
		}
		words = append(words, string(bytes[:length]))
	}
	return words, nil
}

func header(r *bufio.Reader, marker byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 3 || line[0] != marker {
		return 0, fmt.Errorf("unexpected %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// ping reports whether an instance answers ping.
func ping(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	conn.Write(encode("ping"))
	words, err := decode(bufio.NewReader(conn))
	return err == nil && len(words) > 0 && words[0] == "pong"
}

// freeAddress returns a loopback address whose port is free now.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
