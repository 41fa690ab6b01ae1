package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"

	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/reconfigure"
	"sloehitch/internal/platform/settings"
	"sloehitch/internal/store"
)

// reload takes over a new configuration: the links move to its addresses, each by itself. What can't be taken over
// while serving is logged; a bad file leaves all as it is.
func (d *Daemon) reload() {
	l, err := d.load()
	if err == nil {
		err = d.retune(l.Platform)
	}
	if err != nil {
		d.rejected.Add(1)
		d.log.Error("the configuration stays as it was", "error", err)
		return
	}
	defer d.applied.Add(1)
	p, old := l.Platform, d.platform
	if p.Name != old.Name || p.Listen != old.Listen || p.Ops != old.Ops || p.Caps != old.Caps ||
		l.Deploy.Uwsgi.Listen != d.deploy.Load().Uwsgi.Listen || (p.Runtime == "") != (old.Runtime == "") || (p.Catalog == "") != (old.Catalog == "") {
		d.log.Warn("name, addresses to listen on, limits, settings and which links there are take a restart")
	}
	if was, is := d.deploy.Load().Uwsgi, l.Deploy.Uwsgi; was.TLS != is.TLS || was.ServersTLS != is.ServersTLS {
		d.log.Warn("which files hold the TLS keys takes a restart; what is in them is read again")
	}
	if l.Deploy.Ledger != d.deploy.Load().Ledger {
		d.log.Warn("the section [ledger] stays as it was: it takes a restart")
	}
	for _, k := range d.keys {
		_ = k.Reload() // said in the log; the old ones stay then
	}
	if d.link != nil && p.Runtime != "" {
		d.link.Move(p.Runtime)
	}
	if d.below != nil && p.Catalog != "" {
		d.below.Move(p.Catalog)
	}
	d.pulse.Move(p.Lookup)
	d.platform = p
	d.deploy.Store(l.Deploy)
	if d.servers != nil {
		d.follow(store.UwsgiServers, d.store.Get(store.UwsgiServers))
	}
	d.log.Info("configuration taken over", "runtime", p.Runtime, "catalogue", p.Catalog, "directory", p.Lookup)
}

// retune has the core, its module and the fronts take the settings of p where they differ from the running ones,
// and writes into p what they come to (package retune). It errs, and changes nothing, where the file is to be
// turned down whole.
func (d *Daemon) retune(p *config.Platform) error {
	old := d.platform
	if bytes.Equal(p.Raw, old.Raw) {
		p.Logic, p.Names = old.Logic, old.Names
		return nil
	}
	running, next, err := flat(old.Raw), flat(p.Raw), error(nil)
	if err = reconfigure.Check(p.Raw, running, next); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	plan, err := reconfigure.Lay(old.Logic, p.Logic)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(plan.Settings.Classes) > reconfigure.MostClasses {
		return fmt.Errorf("settings: %d classes with those kept for requests in hand, %d at most until a restart", len(plan.Settings.Classes), reconfigure.MostClasses)
	}
	if err := d.node.Retune(plan.Settings); err != nil {
		return err
	}
	d.front.Retune(plan.Names)
	if plan.Tenants {
		d.log.Warn("the tenants stay as they were: they take a restart")
	}
	names := *old.Names
	names.Classes = plan.Names
	p.Logic, p.Names = plan.Settings, &names
	d.log.Info("settings retuned", "added", plan.Added, "dropped", plan.Dropped, "classes", len(plan.Settings.Classes))
	return nil
}

// flat is the settings object by path; nil where it is no object, which the file's reading has ruled out.
func flat(raw json.RawMessage) map[string]string {
	var object map[string]any
	if json.Unmarshal(raw, &object) != nil {
		return nil
	}
	return settings.Flatten(object)
}
