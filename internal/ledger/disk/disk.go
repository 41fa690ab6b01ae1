// Package disk is the file layer under the ledger: one flat folder of files, whose operations separate what is written from
// what is durable. Dir is a folder of the operating system; package simdisk simulates one that loses power.
package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// ErrLocked is wrapped by the error of Lock when another process holds the folder.
var ErrLocked = errors.New("the folder is in use")

// FS is one folder. Its methods may be called from any goroutine. Only SyncDir makes created, renamed and removed names
// durable.
type FS interface {
	// Create creates an empty file for reading and writing, and replaces one of that name.
	Create(name string) (File, error)
	// Open opens a file for reading. Errors wrap fs.ErrNotExist where there is none.
	Open(name string) (File, error)
	// Rename renames a file atomically, and replaces one of the new name.
	Rename(from, to string) error
	// Remove removes a name; open files stay readable.
	Remove(name string) error
	// List returns the names of the files, sorted.
	List() ([]string, error)
	// SyncDir makes all changes of names durable.
	SyncDir() error
	// Lock locks the folder against other processes until release is called. owner describes the holder in their errors, which
	// wrap ErrLocked. It does not block.
	Lock(name, owner string) (release func() error, err error)
	// String names the folder in messages.
	String() string
}

// File is one file. WriteAt and Truncate are durable only after Sync.
type File interface {
	io.ReaderAt
	io.WriterAt
	Truncate(size int64) error
	Size() (int64, error)
	Sync() error
	Close() error
}

// IsFull reports whether an operation failed because the disk or a quota is full.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Dir is a folder of the operating system.
type Dir string

// MakeDir creates the folder and missing parents durably, and returns it.
func MakeDir(path string) (Dir, error) {
	path = filepath.Clean(path)
	var created []string
	for p := path; ; p = filepath.Dir(p) {
		if _, err := os.Stat(p); err == nil || p == filepath.Dir(p) {
			break
		}
		created = append(created, p)
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return "", err
	}
	for _, p := range slices.Backward(created) {
		if err := Dir(filepath.Dir(p)).SyncDir(); err != nil {
			return "", err
		}
	}
	return Dir(path), nil
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// maxOwnerBytes is how much of the owner's description is shown.
const maxOwnerBytes = 512

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }
func (d Dir) String() string          { return string(d) }

// Create creates an empty file for reading and writing, and replaces one of that name.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Open opens a file for reading.
func (d Dir) Open(name string) (File, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename renames a file atomically, and replaces one of the new name.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove deletes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// List returns the names of the regular files, sorted.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// SyncDir makes created, renamed and removed names durable.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock uses flock(2), which the kernel releases when the process ends, however it ends.
func (d Dir) Lock(name, owner string) (func() error, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		defer f.Close()
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, err
		}
		held, _ := io.ReadAll(io.LimitReader(f, maxOwnerBytes)) // the owner is for the message only
		by := strings.TrimSpace(string(held))
		if by == "" {
			by = "a process that has not said who it is"
		}
		return nil, fmt.Errorf("%s: %w: held by %s", d, ErrLocked, by)
	}
	err = f.Truncate(0)
	if err == nil {
		_, err = f.WriteAt([]byte(owner+"\n"), 0)
	}
	if err != nil && !IsFull(err) { // on a full disk only the owner's description is missing
		f.Close()
		return nil, err
	}
	return f.Close, nil
}

// Owner describes this process for Lock.
func Owner() string {
	host, _ := os.Hostname()
	return fmt.Sprintf("process %d (%s) on %s since %s", os.Getpid(), filepath.Base(os.Args[0]), host,
		time.Now().UTC().Format(time.RFC3339))
}
