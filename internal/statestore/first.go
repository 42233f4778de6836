package statestore

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
)

// firstForm began each file of the first layout: one file for the life and one for the list, each a line with a checksum and a
// line of JSON. They stay where they are, so that the earlier version still starts.
const firstForm = "peppervale-state-1"

// readFirstForm gives what a folder of the first layout holds, nil if it is none.
func readFirstForm(dir string) *content {
	var life struct {
		Life uint64 `json:"life"`
	}
	var list struct {
		Life    uint64          `json:"life"`
		Entries json.RawMessage `json:"entries"`
	}
	noLife, noList := readFirst(dir, "life", &life), readFirst(dir, "list", &list)
	if errors.Is(noLife, os.ErrNotExist) && errors.Is(noList, os.ErrNotExist) {
		return nil
	}
	c := &content{values: map[string][]byte{}}
	for _, err := range []error{noLife, noList} {
		if err != nil && !(errors.Is(err, os.ErrNotExist) && err == noList) { // a life without a list is an early end
			c.lost = append(c.lost, err)
		}
	}
	if last := max(life.Life, list.Life); last > 0 {
		c.values["life"] = binary.BigEndian.AppendUint64(nil, last)
	}
	if noLife != nil {
		delete(c.values, "life") // the list's may be long past
	}
	if noList == nil {
		c.values["list"] = list.Entries
	}
	return c
}

func readFirst(dir, name string, into any) error {
	text, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return fmt.Errorf("state %s: %w", name, err)
	}
	head, body, _ := bytes.Cut(text, []byte("\n"))
	body, whole := bytes.CutSuffix(body, []byte("\n"))
	if !whole || !strings.HasPrefix(string(head), firstForm+" ") || string(head) != fmt.Sprintf("%s %08x", firstForm, crc32.ChecksumIEEE(body)) ||
		json.Unmarshal(body, into) != nil {
		return fmt.Errorf("state %s: %w: its checksum does not add up", name, ErrDamaged)
	}
	return nil
}
