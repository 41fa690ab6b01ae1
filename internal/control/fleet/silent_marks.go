package fleet

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"strings"

	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/store/document"
)

const (
	// sweepTaskName is the name of the task that marks silent nodes.
	sweepTaskName = "sweep"
	// silentKeyPrefix, followed by a node's name, is the key of the mark on a silent node.
	silentKeyPrefix = "silent/"
	// sweepIntervals is for how many intervals after a sweep this node continues to read the reports.
	sweepIntervals = 4
)

// silentMark is the document that marks a silent node.
type silentMark struct {
	By    string `json:"by"`    // name of the node that marked it
	Since int64  `json:"since"` // Unix milliseconds, by the clock of the node that marked it
}

// observeReportsWhileSweeping reads all reports on the node that runs the sweep. If every node read all of them, the
// reads would grow with the square of the number of nodes.
func (p *Participant) observeReportsWhileSweeping() {
	p.mu.Lock()
	sweeping := p.lastSweep != 0 && p.clock() < p.lastSweep.Add(sweepIntervals*p.options.SilentAfter)
	p.mu.Unlock()
	if sweeping {
		_ = p.observeReports() // publishReport has logged that the store cannot be reached
	}
}

// observeReports has the failure detector observe all reports.
func (p *Participant) observeReports() error {
	docs, err := p.documents(nodeKeyPrefix)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detector.Observe(docs, p.clock())
	return nil
}

// markSilentNodes marks the silent nodes and removes the marks from those that are alive, under the task's
// fencing token.
func (p *Participant) markSilentNodes(_ context.Context, a leasedtask.Action) error {
	marks, err := p.documents(silentKeyPrefix)
	if err != nil {
		return err
	}
	if err := p.observeReports(); err != nil {
		return err
	}
	p.mu.Lock()
	p.lastSweep = p.clock()
	silent := p.detector.SilentNodes(p.lastSweep)
	p.mu.Unlock()
	operations, marked := p.removeMarks(marks)
	for _, node := range silent {
		if marked[node.Node] {
			continue
		}
		text, err := json.Marshal(silentMark{p.options.Name, p.options.Now().Add(-node.Silence).UnixMilli()})
		if err != nil {
			return err
		}
		operations = append(operations, document.Operation{Key: silentKeyPrefix + node.Node, Value: string(text)})
	}
	if len(operations) == 0 {
		return nil
	}
	operations = operations[:min(len(operations), document.DefaultLimits.MaxOperations)] // the rest is left to the next sweep
	_, err = p.transact(document.Transaction{ID: a.ID + "/" + rand.Text(), Author: p.options.Name, Reason: sweepTaskName,
		Conditions: []document.Condition{{Task: sweepTaskName, Token: a.Token}}, Operations: operations})
	return err
}

// removeMarks returns the operations that remove the marks of nodes that are alive, and the marked nodes. A node that
// this process has observed only once does not count as alive, so it keeps a mark that another process has set.
func (p *Participant) removeMarks(marks []document.Document) (operations []document.Operation, marked map[string]bool) {
	marked = map[string]bool{}
	for _, mark := range marks {
		node := strings.TrimPrefix(mark.Key, silentKeyPrefix)
		marked[node] = true
		if p.isAlive(node) {
			operations = append(operations, document.Operation{Key: mark.Key, Delete: true})
		}
	}
	return operations, marked
}

func (p *Participant) isAlive(node string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detector.Alive(node, p.clock())
}
