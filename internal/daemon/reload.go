package daemon

import (
	"encoding/json"
	"fmt"
	"reflect"

	"sloehitch/internal/platform/apispec"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/reconfigure"
	"sloehitch/internal/platform/settings"
	"sloehitch/internal/store"
)

// reload reads the configuration again and applies it. Links switch to new addresses on their own. Changes that require a restart
// are logged, and an invalid file changes nothing.
func (d *Daemon) reload() {
	next, err := d.load()
	if err == nil {
		err = d.reconfigure(next)
	}
	if err != nil {
		d.log.Error("configuration rejected; the running one stays in force", "error", err)
		d.counts.rejected.Add(1)
		return
	}
	defer d.counts.applied.Add(1)
	p := next.Platform
	d.warnRestartRequired(next)
	for _, k := range d.tlsKeys {
		_ = k.Reload() // Reload logs its error and keeps the current keys
	}
	if d.runtime != nil && p.Runtime != "" {
		d.runtime.SetAddress(p.Runtime)
	}
	if d.catalogue != nil && p.Catalogue != "" {
		d.catalogue.SetAddress(p.Catalogue)
	}
	d.directory.SetAddress(p.Directory)
	d.platform = p
	d.deploy.Store(keepUwsgiSection(next.Deploy, d.deploy.Load()))
	if d.upstreams.pool != nil {
		d.applyStoredValue(store.KeyUwsgiServers, d.store.Get(store.KeyUwsgiServers))
	}
	d.log.Info("configuration applied", "runtime", p.Runtime, "catalogue", p.Catalogue, "directory", p.Directory)
}

// keepUwsgiSection returns next with the running uwsgi section if next has none: a restart turns the front off, and until then it
// needs its servers.
func keepUwsgiSection(next, running *config.Deploy) *config.Deploy {
	if next.Uwsgi.Listen != "" {
		return next
	}
	kept := *next
	kept.Uwsgi = running.Uwsgi
	return &kept
}

// reconfigure applies the settings and the description of a new configuration to the core, admission and the fronts, and stores the
// merged settings in it (package reconfigure). It returns an error and changes nothing if a file is rejected.
func (d *Daemon) reconfigure(next *Config) error {
	old, p := d.platform, next.Platform
	if err := reconfigure.CheckFile(p.Text, flatten(old.Text), flatten(p.Text)); err != nil {
		return err
	}
	operations, err := d.nextOperations(next)
	if err != nil {
		return err
	}
	plan, err := reconfigure.Merge(old.Logic, p.Logic)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(plan.Settings.Classes) > reconfigure.MaxClasses {
		return fmt.Errorf("settings: %d classes, including removed ones kept until a restart for requests in flight, exceed the maximum of %d", len(plan.Settings.Classes), reconfigure.MaxClasses)
	}
	if err := d.applySettings(plan); err != nil {
		return err
	}
	names := settings.NameIndex{Classes: plan.ClassIndex, Tenants: old.Names.Tenants, GaugeNames: p.Names.GaugeNames}
	p.Logic, p.Names = plan.Settings, &names
	if operations != nil {
		if changed := operations.WithoutFormerKey(d.operations); len(changed) > 0 {
			d.log.Warn("operations no longer read the idempotency key that they did; a repeat of a request from before is taken for a new one", "operations", changed)
		}
		d.operations = operations.WithIndices(names.Classes, names.Tenants)
		d.uwsgi.SetMapper(d.operations)
	}
	return nil
}

// nextOperations returns the operations that the uwsgi front serves from now on, checked against the settings of the new configuration;
// nil without a front. The running ones stay if the configuration has none: a restart turns the front off, until then it serves them.
func (d *Daemon) nextOperations(next *Config) (*apispec.Operations, error) {
	if d.uwsgi == nil {
		return nil, nil
	}
	if next.Operations != nil {
		return next.Operations, nil
	}
	p := next.Platform
	operations, err := d.operations.ForSettings(&p.Logic, p.Names.Classes, p.Names.Tenants)
	if err != nil {
		return nil, fmt.Errorf("the OpenAPI document that the uwsgi front serves until a restart: %w", err)
	}
	return operations, nil
}

// applySettings applies merged settings to the core, admission and the front of balancers if they differ from the running ones.
func (d *Daemon) applySettings(plan reconfigure.Plan) error {
	if plan.TenantsChanged {
		d.log.Warn("changes of tenants are not applied until a restart")
	}
	if reflect.DeepEqual(plan.Settings, d.platform.Logic) {
		return nil
	}
	if err := d.node.Reconfigure(plan.Settings); err != nil {
		return err
	}
	d.stamps.SetMaxBehind(maxStampAge(plan.Settings, d.limits))
	d.resp.SetClasses(plan.ClassIndex)
	d.log.Info("settings applied", "added", plan.Added, "dropped", plan.Removed, "semantics", plan.Idempotency, "classes", len(plan.Settings.Classes))
	return nil
}

// flatten returns the values of a file by path; nil if it is not an object, which the parser has already rejected.
func flatten(text []byte) map[string]string {
	var object map[string]any
	if json.Unmarshal(text, &object) != nil {
		return nil
	}
	return settings.Flatten(object)
}
