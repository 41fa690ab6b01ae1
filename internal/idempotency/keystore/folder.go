package keystore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"sloehitch/internal/idempotency/keystore/format"
)

// folder is what the processes share: a file whose lock orders all that is told, one that each process holds locked
// for as long as it lives, and the segments of each. Files are named OWNER.alive and OWNER.NUMBER.log.
type folder struct {
	dir        string
	owner      string   // this process
	lock       *os.File // its first bytes count the processes and segments so far: a reader looks for new ones when that moves
	alive      *os.File
	generation uint64 // that count, as last seen
}

// segment is a file of records. Its owner appends to the newest of its own; the others never change.
type segment struct {
	number         int    // this process's name for it
	owner          string // the process that writes it
	order          int    // its place among that process's
	path           string
	file           *os.File // nil once it is read to its end
	size           int64    // bytes read, or written where it is this process's own
	expiresAt      int64    // the latest end of a record in it
	salt           format.Salt
	foreignVersion bool  // of another version
	skippedBytes   int64 // bytes that were no records
}

const (
	lockName    = "lock"
	aliveSuffix = ".alive"
	logSuffix   = ".log"
)

// openFolder makes the folder where it is missing, and this process's part of it. It waits for the lock.
func openFolder(dir, owner string) (f *folder, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f = &folder{dir: dir, owner: owner}
	if f.lock, err = os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, err
	}
	if err := f.acquireLock(); err != nil {
		f.lock.Close()
		return nil, err
	}
	defer f.releaseLock()
	// Made and locked while nobody else can look for the dead.
	if f.alive, err = os.OpenFile(filepath.Join(dir, owner+aliveSuffix), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600); err == nil {
		err = flock(f.alive, syscall.LOCK_EX|syscall.LOCK_NB)
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

// advanceGeneration has the others look for what is new. The caller holds the lock.
func (f *folder) advanceGeneration() error {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], f.readGeneration()+1)
	_, err := f.lock.WriteAt(b[:], 0)
	return err
}

// flock is flock(2), begun anew where a signal interrupts it.
func flock(f *os.File, how int) error {
	for {
		if err := syscall.Flock(int(f.Fd()), how); err != syscall.EINTR {
			return err
		}
	}
}

// acquireLock waits until this process alone may tell of keys. The kernel lets go of the lock of one that dies.
func (f *folder) acquireLock() error { return flock(f.lock, syscall.LOCK_EX) }

func (f *folder) releaseLock() { _ = flock(f.lock, syscall.LOCK_UN) }

// generationChanged says whether processes came or segments were made since it said so last.
func (f *folder) generationChanged() bool {
	n := f.readGeneration()
	was := f.generation
	f.generation = n
	return n != was
}

func (f *folder) readGeneration() uint64 {
	var b [8]byte
	if _, err := f.lock.ReadAt(b[:], 0); err != nil {
		return 0 // nothing was made yet
	}
	return binary.LittleEndian.Uint64(b[:])
}

// createSegment makes a segment of this process's own. The caller holds the lock: no record of it is told before the others
// can know of it.
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

// list finds the other processes and their segments.
func (f *folder) list() (found []*segment, owners []string, err error) {
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

// hasExited says whether a process has ended: its lock is free. The caller holds the folder's lock.
func (f *folder) hasExited(owner string) bool {
	file, err := os.OpenFile(filepath.Join(f.dir, owner+aliveSuffix), os.O_RDWR, 0)
	if err != nil {
		return errors.Is(err, fs.ErrNotExist)
	}
	defer file.Close() // and with it the lock
	return flock(file, syscall.LOCK_EX|syscall.LOCK_NB) == nil
}

// removeAliveFile removes what a dead process left beside its segments.
func (f *folder) removeAliveFile(owner string) { os.Remove(filepath.Join(f.dir, owner+aliveSuffix)) }

// read reads on in another process's segment, and calls take with each whole record. A record of which only a part is
// there is left for the next time, but where last says that nothing will be added. What is no record is passed over
// and counted as lost: whole records follow it.
func (s *segment) read(buffer []byte, last bool, take func(r format.Record, at, size int64)) error {
	if s.foreignVersion {
		return nil
	}
	if s.file == nil {
		file, err := os.Open(s.path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil // its time was over
		} else if err != nil {
			return err
		}
		s.file = file
	}
	for {
		n, err := s.file.ReadAt(buffer, s.size)
		if err != nil && err != io.EOF {
			return err
		}
		used, err := s.decode(buffer[:n], last && n < len(buffer), take)
		if err != nil {
			s.foreignVersion = true
			return err
		}
		s.size += used
		if n < len(buffer) || used == 0 {
			return nil
		}
	}
}

// decode takes whole records from b, which begins at s.size; last says that nothing comes after b.
func (s *segment) decode(b []byte, last bool, take func(r format.Record, at, size int64)) (used int64, err error) {
	if s.size == 0 {
		if s.salt, err = format.ParseHeader(b); errors.Is(err, format.ErrIncomplete) {
			return 0, nil
		} else if err != nil {
			return 0, fmt.Errorf("%s: %w", s.path, err)
		}
		used = format.HeaderSize
	}
	for int(used) < len(b) {
		r, n, err := s.salt.DecodeRecord(b[used:])
		switch {
		case err == nil:
			take(r, s.size+used, int64(n))
			used += int64(n)
		case errors.Is(err, format.ErrIncomplete) && !last:
			return used, nil
		default:
			used++
			s.skippedBytes++
		}
	}
	return used, nil
}

// append writes text at the end of an own segment. It says how many of its bytes stand: whole records among them
// count, whatever the error.
func (s *segment) append(text []byte) (int, error) {
	n, err := s.file.Write(text) // not WriteAt, which does not say how much stands where it fails midway
	s.size += int64(n)
	if err != nil {
		s.closeFile() // what stands of the record that was cut must stay the last in its segment
		return n, fmt.Errorf("claims: %w", err)
	}
	return n, nil
}

// readRecord reads one record again.
func (s *segment) readRecord(at, size int64) (format.Record, error) {
	file := s.file
	if file == nil {
		var err error
		if file, err = os.Open(s.path); err != nil {
			return format.Record{}, err
		}
		defer file.Close()
	}
	b := make([]byte, size)
	if _, err := file.ReadAt(b, at); err != nil {
		return format.Record{}, err
	}
	r, _, err := s.salt.DecodeRecord(b)
	return r, err
}

// exists says whether a segment's file is still there.
func (s *segment) exists() bool {
	_, err := os.Stat(s.path)
	return err == nil
}

// closeFile closes a segment that is read or written to its end.
func (s *segment) closeFile() {
	if s.file != nil {
		s.file.Close()
		s.file = nil
	}
}

// close lets go of what marks this process as living. What it told stays.
func (f *folder) close() {
	for _, file := range []*os.File{f.alive, f.lock} {
		if file != nil {
			file.Close()
		}
	}
}
