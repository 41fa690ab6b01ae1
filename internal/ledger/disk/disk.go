// Package disk is the file layer below the ledger: a flat folder of files whose operations distinguish written data from
// durable data. Dir is a folder of the operating system. Package simdisk simulates a folder on a disk that loses power.
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

// ErrLocked is wrapped by the error that Lock returns when another process has locked the folder.
var ErrLocked = errors.New("the folder is in use")

// FS is a folder. Its methods may be called from any goroutine. The creation, renaming and removal of files is durable only after
// SyncDir.
type FS interface {
	// Create creates an empty file for reading and writing. It replaces an existing file of that name.
	Create(name string) (File, error)
	// Open opens a file for reading. The error wraps fs.ErrNotExist if there is no such file.
	Open(name string) (File, error)
	// Rename renames a file atomically. It replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove removes a file. Open handles stay readable.
	Remove(name string) error
	// List returns the names of the files, sorted.
	List() ([]string, error)
	// SyncDir makes all previous creations, renames and removals durable.
	SyncDir() error
	// Lock locks the folder against other processes until release is called. owner describes this process in the errors that
	// other processes get, which wrap ErrLocked. Lock does not block.
	Lock(name, owner string) (release func() error, err error)
	// String returns a name of the folder for messages.
	String() string
}

// File is an open file. The effects of WriteAt and Truncate are durable only after Sync.
type File interface {
	io.ReaderAt
	io.WriterAt
	Truncate(size int64) error
	Size() (int64, error)
	Sync() error
	Close() error
}

// IsDiskFull reports whether an operation failed because the disk is full or a quota is exceeded.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Dir is a folder of the operating system.
type Dir string

// MakeDir creates the folder and its missing parents, makes them durable and returns the folder.
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

// maxOwnerBytes is the maximum length of the owner description in an error.
const maxOwnerBytes = 512

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }
func (d Dir) String() string          { return string(d) }

// Create creates an empty file for reading and writing. It replaces an existing file of that name.
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

// Rename renames a file atomically. It replaces an existing file of the new name.
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

// SyncDir makes all previous creations, renames and removals durable.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock locks the folder with flock(2). The kernel releases the lock when the process ends for any reason.
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
		description, _ := io.ReadAll(io.LimitReader(f, maxOwnerBytes)) // read errors are ignored: the owner is only used in the message
		holder := strings.TrimSpace(string(description))
		if holder == "" {
			holder = "an unknown process"
		}
		return nil, fmt.Errorf("%s: %w: held by %s", d, ErrLocked, holder)
	}
	err = f.Truncate(0)
	if err == nil {
		_, err = f.WriteAt([]byte(owner+"\n"), 0)
	}
	if err != nil && !IsDiskFull(err) { // a full disk only prevents storing the owner description
		f.Close()
		return nil, err
	}
	return f.Close, nil
}

// Owner returns a description of this process for Lock.
func Owner() string {
	host, _ := os.Hostname()
	return fmt.Sprintf("process %d (%s) on %s since %s", os.Getpid(), filepath.Base(os.Args[0]), host,
		time.Now().UTC().Format(time.RFC3339))
}
