package fleet

import "context"

// watchChanges returns a channel that receives a notification when documents whose keys begin with keyPrefix may have
// changed, until the context ends. The channel buffers one notification, so a slow receiver gets a single one for
// several changes.
func (p *Participant) watchChanges(ctx context.Context, keyPrefix string) <-chan struct{} {
	changed := make(chan struct{}, 1)
	go func() {
		var revision uint64
		for ctx.Err() == nil {
			c, memberIndex := p.preferredClient()
			changes, status, forgotten, err := c.Changes(keyPrefix, revision, c.Timeout/2)
			if err != nil {
				p.skipMember(memberIndex)
				p.pause(ctx)
				continue
			}
			revision = status.Revision
			if len(changes) == 0 && !forgotten {
				continue
			}
			select {
			case changed <- struct{}{}:
			default:
			}
		}
	}()
	return changed
}
