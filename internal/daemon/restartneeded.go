package daemon

import (
	"reflect"
	"slices"
	"strings"

	"sloehitch/internal/platform/config"
)

// startConfig is the configuration that a node was started with. What is only read at the start is compared with it at each
// reload, so that the log tells of a difference for as long as there is one.
type startConfig struct {
	platform config.Platform
	deploy   *config.Deploy
}

// appliedUwsgiKeys are the keys of section [uwsgi] that a reload applies, or that have a warning of their own.
var appliedUwsgiKeys = []string{"listen", "servers", "openapi", "tls", "servers_tls"}

// warnRestartRequired logs what differs in a new configuration from the running node and is not applied until a restart.
func (d *Daemon) warnRestartRequired(next *Config) {
	p, old := next.Platform, &d.started.platform
	running, deploy := d.started.deploy, next.Deploy
	if p.Name != old.Name || p.Listen != old.Listen || p.OperatorAddress != old.OperatorAddress || p.Limits != old.Limits ||
		deploy.Uwsgi.Listen != running.Uwsgi.Listen || (p.Runtime == "") != (old.Runtime == "") || (p.Catalogue == "") != (old.Catalogue == "") {
		d.log.Warn("changes of the name, listen addresses, limits or set of links are not applied until a restart")
	}
	if p.Seed != old.Seed {
		d.log.Warn("changes of the seed are not applied until a restart")
	}
	if !slices.Equal(p.Names.GaugeNames, old.Names.GaugeNames) {
		d.log.Warn("changes of the meters are not applied until a restart")
	}
	if deploy.Uwsgi.Listen != "" { // otherwise the front stays as it is, which the first warning says
		d.warnUwsgiRestartRequired(running.Uwsgi, deploy.Uwsgi)
	}
	d.warnUnappliedSections(deploy)
}

// warnUwsgiRestartRequired logs the changes of section [uwsgi] that are not applied until a restart.
func (d *Daemon) warnUwsgiRestartRequired(running, next config.Uwsgi) {
	if running.TLS != next.TLS || running.ServersTLS != next.ServersTLS {
		d.log.Warn("changes of TLS file names are not applied until a restart; the current files are reloaded")
	}
	changed := slices.DeleteFunc(changedKeys(running, next), func(key string) bool { return slices.Contains(appliedUwsgiKeys, key) })
	if len(changed) > 0 {
		d.log.Warn("changes in section [uwsgi] are not applied until a restart", "keys", changed)
	}
}

// warnUnappliedSections logs the sections of the deployment file that are only read at the start and differ in next.
func (d *Daemon) warnUnappliedSections(next *config.Deploy) {
	for _, section := range changedKeys(*d.started.deploy, *next) {
		message := "changes in section [" + section + "] are not applied until a restart"
		switch section {
		case "uwsgi": // warnUwsgiRestartRequired logs its keys
		case "store":
			d.log.Warn(message, "folder_in_use", d.store.Dir())
		default:
			d.log.Warn(message)
		}
	}
}

// changedKeys returns the keys of the deployment file in which two files, or two sections of the same type, differ.
func changedKeys[Section any](running, next Section) (keys []string) {
	before, after := reflect.ValueOf(running), reflect.ValueOf(next)
	for i := range before.NumField() {
		key, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("toml"), ",")
		if key != "-" && !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			keys = append(keys, key)
		}
	}
	return keys
}
