package keystore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"sloehitch/internal/idempotency/keystore/format"
)

// folder is the directory shared by the processes of one node. It contains a lock file whose lock orders all
// records, a file per process that the process keeps locked while it is alive, and the segments of each process.
type folder struct {
	dir        string
	owner      string   // name of this process
	lockFile   *os.File // the first 8 bytes of the file are the generation
	aliveFile  *os.File
	generation uint64 // last generation seen; others list the folder only if it has changed
}

// The files are named lock, OWNER.alive and OWNER.ORDER.log. The generation in the lock file changes with each new
// process or segment.
const (
	lockName    = "lock"
	aliveSuffix = ".alive"
	logSuffix   = ".log"
)

// openFolder creates the folder if it does not exist, and joins it. It waits for the lock.
func openFolder(dir, owner string) (f *folder, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f = &folder{dir: dir, owner: owner}
	if f.lockFile, err = os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, err
	}
	if err := f.acquireLock(); err != nil {
		_ = f.lockFile.Close()
		return nil, err
	}
	defer f.releaseLock()
	// The alive file is created and locked under the folder's lock, so that no other process checks it in between and
	// takes this process for exited.
	alive := filepath.Join(dir, owner+aliveSuffix)
	if f.aliveFile, err = os.OpenFile(alive, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600); err == nil {
		err = flock(f.aliveFile, syscall.LOCK_EX|syscall.LOCK_NB)
	}
	if err == nil {
		err = f.advanceGeneration()
	}
	if err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// flock calls flock(2), and repeats the call if a signal interrupts it.
func flock(f *os.File, how int) error {
	for {
		if err := syscall.Flock(int(f.Fd()), how); !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// acquireLock blocks until it holds the folder's lock. The kernel releases the lock of a process that dies.
func (f *folder) acquireLock() error { return flock(f.lockFile, syscall.LOCK_EX) }

func (f *folder) releaseLock() { _ = flock(f.lockFile, syscall.LOCK_UN) }

// advanceGeneration increments the generation, so that the other processes look for new processes and segments. The
// caller holds the folder's lock.
func (f *folder) advanceGeneration() error {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], f.readGeneration()+1)
	_, err := f.lockFile.WriteAt(b[:], 0)
	return err
}

// generationChanged reports whether processes have joined or segments were created since it was last called.
func (f *folder) generationChanged() bool {
	now := f.readGeneration()
	before := f.generation
	f.generation = now
	return now != before
}

func (f *folder) readGeneration() uint64 {
	var b [8]byte
	if _, err := f.lockFile.ReadAt(b[:], 0); err != nil {
		return 0 // no process has joined yet
	}
	return binary.LittleEndian.Uint64(b[:])
}

// createSegment creates a segment of this process. The caller holds the folder's lock, so that the other processes
// learn of the segment before it contains a record.
func (f *folder) createSegment(order int) (*segment, error) {
	path := filepath.Join(f.dir, fmt.Sprintf("%s.%08d%s", f.owner, order, logSuffix))
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	salt := format.Salt(rand.Uint64())
	if _, err = file.Write(format.Header(salt)); err == nil {
		err = f.advanceGeneration()
	}
	if err != nil {
		return nil, errors.Join(err, file.Close(), os.Remove(path))
	}
	return &segment{owner: f.owner, order: order, path: path, file: file, size: format.HeaderSize, salt: salt}, nil
}

// listPeers returns the segments and the names of the other processes.
func (f *folder) listPeers() (found []*segment, owners []string, err error) {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, nil, err
	}
	for _, e := range entries {
		if owner, ok := strings.CutSuffix(e.Name(), aliveSuffix); ok && owner != f.owner {
			owners = append(owners, owner)
		}
		name, ok := strings.CutSuffix(e.Name(), logSuffix)
		owner, text, cut := strings.Cut(name, ".")
		order, err := strconv.Atoi(text)
		if !ok || !cut || err != nil || owner == f.owner {
			continue
		}
		found = append(found, &segment{owner: owner, order: order, path: filepath.Join(f.dir, e.Name())})
	}
	return found, owners, nil
}

// hasExited reports whether a process has exited: its alive file is not locked or does not exist. The caller holds
// the folder's lock.
func (f *folder) hasExited(owner string) bool {
	file, err := os.OpenFile(filepath.Join(f.dir, owner+aliveSuffix), os.O_RDWR, 0)
	if err != nil {
		return errors.Is(err, fs.ErrNotExist)
	}
	defer func() { _ = file.Close() }() // this also releases the lock
	return flock(file, syscall.LOCK_EX|syscall.LOCK_NB) == nil
}

// removeAliveFile removes the alive file of a process that has exited or is about to.
func (f *folder) removeAliveFile(owner string) {
	_ = os.Remove(filepath.Join(f.dir, owner+aliveSuffix))
}

// close closes the lock file and the alive file, and so releases the lock that marks this process as alive.
func (f *folder) close() {
	for _, file := range []*os.File{f.aliveFile, f.lockFile} {
		if file != nil {
			_ = file.Close()
		}
	}
}
