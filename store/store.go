// Package store keeps in a folder what a governor must know after a restart: the number of its life and the last
// machine list that it was given.
//
// Guarantees: a file is written whole beside the old one and renamed over it, synced before and after, so that a cut
// at any byte leaves the old state or the new one; each file ends in a checksum, and one that does not add up is
// reported as ErrDamaged and never used. A life's number only grows, also if its file is lost while a list is
// still there. One process has a folder at a time.
//
// Caveats: the lock is the kernel's (flock): it ends with the process and does not reach over network file systems.
package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"peppervale/fleet"
)

// ErrDamaged is a file whose checksum does not add up.
var ErrDamaged = errors.New("damaged")

// ErrLocked is a folder that another process has.
var ErrLocked = errors.New("in use by another process")

const (
	lifeFile = "life"
	listFile = "list"
)

// Folder is an open state folder. Make it with Open and Close it.
type Folder struct {
	dir  string
	lock *os.File
}

// Open makes the folder if it is missing and locks it; ErrLocked if another process has it.
func Open(dir string) (*Folder, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("state folder %s: %w", dir, ErrLocked)
	}
	return &Folder{dir, lock}, nil
}

// Close gives the folder up.
func (f *Folder) Close() error { return f.lock.Close() }

type lifeRecord struct {
	Life uint64 `json:"life"`
}

type listRecord struct {
	Life    uint64          `json:"life"` // that wrote it
	Entries []fleet.Listing `json:"entries"`
}

// NextLife counts a start and gives its number, from 1. A damaged or lost file is told by the second error, which
// does not keep the caller from going on: the number is then above the one that the list was written in, and above
// floor (say the clock's seconds), as nobody can tell how far the lost one had come.
func (f *Folder) NextLife(floor uint64) (life uint64, lost, err error) {
	var last lifeRecord
	lost = f.read(lifeFile, &last)
	life = last.Life + 1
	if lost != nil {
		_, written, _ := f.List()
		fresh := errors.Is(lost, os.ErrNotExist) && written == 0
		if life = max(written+1, floor); fresh {
			life, lost = 1, nil
		}
	}
	return life, lost, f.write(lifeFile, lifeRecord{life})
}

// SaveList keeps a whole list.
func (f *Folder) SaveList(life uint64, entries []fleet.Listing) error {
	return f.write(listFile, listRecord{life, entries})
}

// List gives the list kept last and the life that wrote it; os.ErrNotExist if there is none, ErrDamaged if it does
// not add up.
func (f *Folder) List() ([]fleet.Listing, uint64, error) {
	var r listRecord
	if err := f.read(listFile, &r); err != nil {
		return nil, 0, err
	}
	return r.Entries, r.Life, nil
}

// form is the first word of each file; a file of a newer form is not guessed at.
const form = "peppervale-state-1"

func (f *Folder) write(name string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	text := fmt.Appendf(nil, "%s %08x\n%s\n", form, crc32.ChecksumIEEE(body), body)
	path := filepath.Join(f.dir, name)
	if err := writeSynced(path+".new", text); err != nil {
		return fmt.Errorf("state %s: %w", name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("state %s: %w", name, err)
	}
	dir, err := os.Open(f.dir)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

func writeSynced(path string, text []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err = file.Write(text); err == nil {
		err = file.Sync()
	}
	return err
}

func (f *Folder) read(name string, into any) error {
	text, err := os.ReadFile(filepath.Join(f.dir, name))
	if err != nil {
		return err
	}
	head, body, _ := bytes.Cut(text, []byte("\n"))
	if !strings.HasPrefix(string(head), form+" ") {
		return fmt.Errorf("state %s: %w: its first line is not of form %s", name, ErrDamaged, form)
	}
	body, whole := bytes.CutSuffix(body, []byte("\n"))
	if !whole || string(head) != fmt.Sprintf("%s %08x", form, crc32.ChecksumIEEE(body)) || json.Unmarshal(body, into) != nil {
		return fmt.Errorf("state %s: %w: its checksum does not add up", name, ErrDamaged)
	}
	return nil
}
