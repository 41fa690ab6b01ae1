package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/mattn/go-isatty"

	"sloehitch/internal/daemon"
	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/platform/limits"
)

// ledgerCmd contains the commands that inspect and change a ledger's folder without a daemon.
type ledgerCmd struct {
	Put     ledgerPutCmd     `cmd:"" help:"Write KEY<TAB>VALUE lines from standard input; print each key once it is durable."`
	Dump    ledgerDumpCmd    `cmd:"" help:"Print KEY<TAB>VALUE lines, sorted by key. The folder may be in use."`
	Stat    ledgerStatCmd    `cmd:"" help:"Print the ledger's statistics. The folder may be in use."`
	Verify  ledgerVerifyCmd  `cmd:"" help:"Read and check all records; exit with 0 if the ledger is whole, 1 if its tail is torn, 2 if it is damaged, 3 if it can't be read."`
	Compact ledgerCompactCmd `cmd:"" help:"Rewrite the files without overwritten, deleted and expired records."`
	Backup  ledgerBackupCmd  `cmd:"" help:"Copy the ledger as it is now to another folder. The folder may be in use."`
	Repair  ledgerRepairCmd  `cmd:"" help:"Copy all readable records of a damaged folder to a new one."`
}

// ledgerFlags are the arguments and flags of all ledger commands.
type ledgerFlags struct {
	Dir      string `arg:"" help:"The ledger's folder." type:"path"`
	JSON     bool   `help:"Use JSON, one object per line; bytes that are not valid text are base64 in key64 and value64."`
	MemoryMB int    `help:"Memory for the keys, in MB." default:"1024"`

	compacts bool // the ledger is compacted automatically while it is open
}

func (f *ledgerFlags) options(readOnly bool, log *slog.Logger) ledger.Options {
	return ledger.Options{Limits: limits.ForLedger(int64(f.MemoryMB) << 20), ReadOnly: readOnly, Manual: !f.compacts, Log: log, Progress: progress()}
}

func (f *ledgerFlags) open(readOnly bool, log *slog.Logger) (*ledger.Store, error) {
	if _, err := os.Stat(f.Dir); err != nil {
		return nil, err
	}
	s, err := ledger.Open(disk.Dir(f.Dir), f.options(readOnly, log))
	if err != nil {
		return nil, err
	}
	if r := s.Recovery(); r.TornBytes > 0 && !readOnly {
		log.Warn("truncated a torn tail, which was never acknowledged", "file", r.TornFile, "offset", r.TornOffset, "bytes", r.TornBytes)
	}
	return s, nil
}

// closeReadOnly closes a store that was opened read-only. Its error does not matter, since there is nothing to write.
func closeReadOnly(s *ledger.Store) { _ = s.Close() }

// progress returns a function that shows the progress of long operations; nil if standard error is not a terminal.
func progress() func(what string, done, of int64) {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return nil
	}
	var mu sync.Mutex
	var last time.Time
	return func(what string, done, of int64) {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); done < of && now.Sub(last) < 200*time.Millisecond {
			return
		} else {
			last = now
		}
		fmt.Fprintf(os.Stderr, "\r%s: %d%% of %.1f MiB ", what, 100*done/max(of, 1), float64(of)/(1<<20))
		if done >= of {
			fmt.Fprint(os.Stderr, "\r\033[K")
		}
	}
}

// jsonPair is the JSON form of a ledger.Pair.
type jsonPair struct {
	Key     string     `json:"key,omitempty"`
	Key64   []byte     `json:"key64,omitempty"`
	Value   *string    `json:"value,omitempty"`
	Value64 []byte     `json:"value64,omitempty"`
	Expires *time.Time `json:"expires,omitempty"`
}

// show prints v as JSON if --json is set, and text otherwise.
func (f *ledgerFlags) show(v any, text string) error {
	if f.JSON {
		return json.NewEncoder(os.Stdout).Encode(v)
	}
	_, err := fmt.Print(text)
	return err
}

type ledgerPutCmd struct {
	ledgerFlags
	For time.Duration `help:"Let the keys expire after this time, such as 90s; 0: never." default:"0"`
}

// maxInFlight is the maximum number of lines that wait for a flush.
const maxInFlight = 4096

func (c *ledgerPutCmd) Run(log *slog.Logger) (err error) {
	_, err = disk.MakeDir(c.Dir)
	if err != nil {
		return err
	}
	c.compacts = true // otherwise all overwritten values would stay on the disk
	s, err := c.open(false, log)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	return c.write(s, os.Stdin, os.Stdout)
}

// write puts the pairs of the lines and prints their keys in order, each only after its pair is durable.
func (c *ledgerPutCmd) write(s *ledger.Store, in io.Reader, out io.Writer) error {
	lim := limits.ForLedger(0)
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, 2*(lim.KeyBytes+lim.ValueBytes))
	w := bufio.NewWriter(out)
	var mu sync.Mutex
	var failed error
	tokens := make(chan struct{}, maxInFlight)
	n := 0
	fail := func(err error) {
		if failed == nil {
			failed = err
		}
	}
	for sc.Scan() {
		n++
		key, value, expiry, err := c.parse(sc.Bytes())
		if err != nil {
			mu.Lock()
			fail(fmt.Errorf("line %d: %w", n, err))
			mu.Unlock()
			break
		}
		var b ledger.Batch
		b.Put(key, value, expiry)
		tokens <- struct{}{}
		mu.Lock()
		stop := failed != nil
		mu.Unlock()
		if stop {
			<-tokens
			break
		}
		at := n
		done := func(err error) {
			mu.Lock()
			defer mu.Unlock()
			defer func() { <-tokens }()
			if err != nil {
				fail(fmt.Errorf("line %d: %w", at, err))
				return
			}
			_, err = fmt.Fprintf(w, "%s\n", key)
			if len(tokens) <= 1 || w.Buffered() > 2048 { // flush soon after each acknowledgement, but batch many
				err = errors.Join(err, w.Flush())
			}
			if err != nil {
				fail(err)
			}
		}
		if err := s.ApplyAsync(&b, done); errors.Is(err, ledger.ErrBusy) {
			done(s.Apply(&b)) // Apply blocks until the queue has space
		} else if err != nil {
			done(err)
		}
	}
	for range maxInFlight { // wait until all callbacks have run
		tokens <- struct{}{}
	}
	if err := sc.Err(); err != nil {
		fail(fmt.Errorf("line %d: %w", n+1, err))
	}
	return errors.Join(failed, w.Flush())
}

// parse parses a line as JSON or as a key and a value separated by a tab.
func (c *ledgerPutCmd) parse(text []byte) (key, value []byte, expiry time.Time, err error) {
	if c.For > 0 {
		expiry = time.Now().Add(c.For)
	}
	if !c.JSON {
		k, v, found := bytes.Cut(text, []byte("\t"))
		if !found {
			return nil, nil, expiry, errors.New("no tab between key and value")
		}
		return bytes.Clone(k), bytes.Clone(v), expiry, nil
	}
	var l jsonPair
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return nil, nil, expiry, err
	}
	if key = l.Key64; key == nil {
		key = []byte(l.Key)
	}
	if value = l.Value64; value == nil && l.Value != nil {
		value = []byte(*l.Value)
	}
	if l.Expires != nil {
		expiry = *l.Expires
	}
	return key, value, expiry, nil
}

type ledgerDumpCmd struct {
	ledgerFlags
	Prefix string `help:"Only keys that begin with this."`
}

func (c *ledgerDumpCmd) Run(log *slog.Logger) error {
	s, err := c.open(true, log)
	if err != nil {
		return err
	}
	defer closeReadOnly(s)
	w := bufio.NewWriterSize(os.Stdout, 1<<16)
	enc := json.NewEncoder(w)
	err = s.Scan([]byte(c.Prefix), func(p ledger.Pair) error {
		if c.JSON {
			return enc.Encode(toJSONPair(p))
		}
		if bytes.ContainsAny(p.Key, "\t\n") || bytes.ContainsRune(p.Value, '\n') {
			return fmt.Errorf("key %q: the key or its value contains a tab or a line break; use --json", p.Key)
		}
		_, err := fmt.Fprintf(w, "%s\t%s\n", p.Key, p.Value)
		return err
	})
	return errors.Join(err, w.Flush())
}

func toJSONPair(p ledger.Pair) (l jsonPair) {
	if utf8.Valid(p.Key) {
		l.Key = string(p.Key)
	} else {
		l.Key64 = p.Key
	}
	if utf8.Valid(p.Value) {
		v := string(p.Value)
		l.Value = &v
	} else {
		l.Value64 = p.Value
	}
	if !p.Expiry.IsZero() {
		e := p.Expiry.UTC()
		l.Expires = &e
	}
	return l
}

type ledgerStatCmd struct{ ledgerFlags }

func (c *ledgerStatCmd) Run(log *slog.Logger) error {
	s, err := c.open(true, log)
	if err != nil {
		return err
	}
	defer closeReadOnly(s)
	stats, r := s.Stats(), s.Recovery()
	return c.show(struct {
		ledger.Stats
		Found ledger.Recovery `json:"found"`
	}{stats, r}, fmt.Sprintf("%vread in        %v, %d records\n", stats, r.Duration.Round(time.Millisecond), r.Records))
}

type ledgerVerifyCmd struct{ ledgerFlags }

func (c *ledgerVerifyCmd) Run(log *slog.Logger) error {
	v, err := ledger.Verify(disk.Dir(c.Dir), c.options(true, log))
	if err != nil {
		log.Error("could not verify the folder", "folder", c.Dir, "error", err)
		return daemon.ExitCode(3)
	}
	text := fmt.Sprintf("%s: %s", c.Dir, v.State)
	if v.File != "" {
		text += fmt.Sprintf(": %s at offset %d: %s", v.File, v.Offset, v.Reason)
	}
	if v.State != ledger.StateDamaged {
		text += fmt.Sprintf("; %d keys, %d records in %d segments", v.Recovery.Keys, v.Recovery.Records, v.Recovery.Segments)
	}
	if err := c.show(v, text+"\n"); err != nil {
		return err
	}
	if code := map[string]daemon.ExitCode{ledger.StateTorn: 1, ledger.StateDamaged: 2}[v.State]; code != 0 {
		return code
	}
	return nil
}

type ledgerCompactCmd struct{ ledgerFlags }

func (c *ledgerCompactCmd) Run(log *slog.Logger) (err error) {
	s, err := c.open(false, log)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	s.RemoveExpired()
	r, err := s.Compact()
	if err != nil {
		return err
	}
	return c.show(r, fmt.Sprintf("%d segments of %d bytes became %d of %d; %d records kept, %d dropped, in %v\n",
		r.SegmentsRead, r.BytesBefore, r.SegmentsWritten, r.BytesAfter, r.RecordsKept+r.TombstonesWritten, r.RecordsDropped, r.Duration.Round(time.Millisecond)))
}

type ledgerBackupCmd struct {
	ledgerFlags
	To string `arg:"" help:"An empty or new folder." type:"path"`
}

func (c *ledgerBackupCmd) Run(log *slog.Logger) error {
	s, err := c.open(true, log)
	if err != nil {
		return err
	}
	defer closeReadOnly(s)
	to, err := disk.MakeDir(c.To)
	if err != nil {
		return err
	}
	n, err := s.Backup(to)
	if err != nil {
		return err
	}
	return c.show(struct {
		Bytes int64 `json:"bytes"`
	}{n}, fmt.Sprintf("%d bytes copied to %s\n", n, c.To))
}

type ledgerRepairCmd struct {
	ledgerFlags
	To string `arg:"" help:"An empty or new folder for the readable records." type:"path"`
}

func (c *ledgerRepairCmd) Run(log *slog.Logger) error {
	if _, err := os.Stat(c.Dir); err != nil {
		return err
	}
	to, err := disk.MakeDir(c.To)
	if err != nil {
		return err
	}
	v, err := ledger.Repair(disk.Dir(c.Dir), to, c.options(false, log))
	if err != nil {
		return err
	}
	text := fmt.Sprintf("%d keys saved to %s, of %d records in %d segments\n", v.Keys, c.To, v.Records, v.Segments)
	for _, l := range v.Lost {
		text += fmt.Sprintf("lost: %s from offset %d, %d bytes: %s\n", l.File, l.Offset, l.Bytes, l.Reason)
	}
	for _, w := range v.Warnings {
		text += "warning: " + w + "\n"
	}
	return c.show(v, text)
}
