package ledger

// queueCallback queues fn for runCallbacks, so that the code of callers does not delay the next flush. It does not block.
func (w *writer) queueCallback(fn func()) {
	w.callbackMu.Lock()
	w.callbacks = append(w.callbacks, fn)
	w.callbackMu.Unlock()
	signal(w.callbackReady)
}

// runCallbacks calls the queued functions in order, until end is closed and the queue is empty.
func (w *writer) runCallbacks(end <-chan struct{}) {
	for ended := false; ; {
		w.callbackMu.Lock()
		callbacks := w.callbacks
		w.callbacks = nil
		w.callbackMu.Unlock()
		for _, fn := range callbacks {
			fn()
		}
		if len(callbacks) > 0 {
			continue
		}
		if ended {
			return
		}
		select {
		case <-w.callbackReady:
		case <-end:
			ended = true
		}
	}
}
