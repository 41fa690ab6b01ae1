package daemon

import (
	"errors"
	"fmt"

	"sloehitch/internal/platform/apispec"
	"sloehitch/internal/platform/config"
)

// Config is the daemon's configuration, read from its files.
type Config struct {
	Platform   *config.Platform
	Deploy     *config.Deploy
	Operations *apispec.Operations // nil without a uwsgi front
}

// Load reads the platform's file and the deployment file. Its error names the file and lists all invalid values in it.
func Load(platformFile, deployFile string) (*Config, error) {
	p, err := config.Load(platformFile)
	if err != nil {
		return nil, err
	}
	d, err := config.LoadDeploy(deployFile)
	if err != nil {
		return nil, err
	}
	if p.Runtime == "" && d.Uwsgi.Listen == "" {
		return nil, errors.New("nothing to serve: neither a runtime nor a uwsgi front is configured")
	}
	c := &Config{Platform: p, Deploy: d}
	if d.Uwsgi.Listen == "" {
		return c, nil
	}
	c.Operations, err = apispec.Load(d.OpenAPI, &p.Logic, p.Names.Classes, p.Names.Tenants)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", d.Uwsgi.OpenAPI, err)
	}
	return c, nil
}
