package ctl

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/settings"
)

// Connection holds the addresses of the daemons, the credentials and the output
// format. Flags override the environment, and the environment overrides the
// configuration file.
type Connection struct {
	Config          string        `long:"config" value-name:"FILE" env:"DRAGONFLYCTL_CONFIG" description:"JSON file with keepers, routers, entries, admin_token and organisation_key"`
	Keepers         []string      `long:"keeper" value-name:"IP:PORT" env:"DRAGONFLYCTL_KEEPERS" env-delim:"," description:"admin address of a keeper; can be repeated"`
	Routers         []string      `long:"router" value-name:"IP:PORT" env:"DRAGONFLYCTL_ROUTERS" env-delim:"," description:"admin address of a router, used if no keeper can provide it; can be repeated"`
	Entries         []string      `long:"entry-address" value-name:"IP:PORT" env:"DRAGONFLYCTL_ENTRIES" env-delim:"," description:"callers' address of a router, for the entry command; can be repeated"`
	Token           string        `long:"token" value-name:"TOKEN" env:"DRAGONFLYCTL_TOKEN" default-mask:"-" description:"admin token; pass it in the environment or the file to keep it out of the process list"`
	OrganisationKey string        `long:"organisation-key" value-name:"KEY" env:"DRAGONFLYCTL_ORGANISATION_KEY" default-mask:"-" description:"key of an organisation, for the entry command"`
	Timeout         time.Duration `long:"timeout" value-name:"DURATION" default:"10s" description:"timeout of a request to one daemon"`
	Output          string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"table for people, json for scripts"`
	Actor           string        `long:"actor" value-name:"NAME" env:"DRAGONFLYCTL_ACTOR" description:"name recorded in the audit trail of a change; the default is the login name"`
}

// fileConfig is the content of the file that Connection.Config names.
type fileConfig struct {
	Keepers         []string `json:"keepers" validate:"dive,hostname_port"`
	Routers         []string `json:"routers" validate:"dive,hostname_port"`
	Entries         []string `json:"entries" validate:"dive,hostname_port"`
	AdminToken      string   `json:"admin_token"`
	OrganisationKey string   `json:"organisation_key"`
}

// setDefaults sets the fields that neither flags nor environment set: Actor from
// the login name, the others from the configuration file.
func (c *Connection) setDefaults() error {
	if c.Actor == "" {
		c.Actor = os.Getenv("USER")
	}
	if c.Config == "" {
		return nil
	}
	var file fileConfig
	if err := settings.Load(c.Config, &file); err != nil {
		return merry.Append(ErrUsage, err.Error())
	}
	setIfEmpty(&c.Keepers, file.Keepers)
	setIfEmpty(&c.Routers, file.Routers)
	setIfEmpty(&c.Entries, file.Entries)
	if c.Token == "" {
		c.Token = file.AdminToken
	}
	if c.OrganisationKey == "" {
		c.OrganisationKey = file.OrganisationKey
	}
	return nil
}

func setIfEmpty(to *[]string, from []string) {
	if len(*to) == 0 {
		*to = from
	}
}

// readJSON decodes raw and keeps numbers as json.Number, so that no digit is lost.
func readJSON(raw []byte, out any) error {
	d := json.NewDecoder(strings.NewReader(string(raw)))
	d.UseNumber()
	return d.Decode(out)
}
