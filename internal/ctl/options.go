package ctl

import (
	"flag"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/finding"
	"github.com/goldcrestturn/goldcrestturn/internal/settings"
)

// Options holds the flags that all commands share. The settings file provides
// values for flags that are not set.
type Options struct {
	Settings     string
	LogService   string
	InstanceList string
	Lists        string
	Author       string
	JSON         bool
	Timeout      time.Duration // of the whole command
}

// defaultTimeout bounds a command. It allows for the retry of a lost append
// answer and for a wait of twice the 4 s within which a record comes into force.
const defaultTimeout = 30 * time.Second

func (o *Options) flags(fs *flag.FlagSet) {
	fs.StringVar(&o.Settings, "settings", "", "INI `file` with a section [ctl] and the keys log_service, instance_list, lists, author")
	fs.StringVar(&o.LogService, "log-service", "", "base `URL` of the log service")
	fs.StringVar(&o.InstanceList, "instance-list", "", "base `URL` of the instance list")
	fs.StringVar(&o.Lists, "lists", "", "`directory` with plans.ini and usage.ini")
	fs.StringVar(&o.Author, "author", "", "`name` written into records (default $USER)")
	fs.BoolVar(&o.JSON, "json", false, "print JSON")
	fs.DurationVar(&o.Timeout, "timeout", defaultTimeout, "longest `time` for the whole command")
}

// load completes the options that no flag has set from the settings file and the
// environment.
func (o *Options) load(fs *flag.FlagSet) error {
	if o.Settings != "" {
		f, err := settings.Open(o.Settings)
		if err != nil {
			return err
		}
		for key, value := range map[string]*string{
			"log_service": &o.LogService, "instance_list": &o.InstanceList, "lists": &o.Lists, "author": &o.Author,
		} {
			if v := f.String("ctl", key, ""); *value == "" {
				*value = v
			}
		}
		if err := f.Err(); err != nil {
			return err
		}
	}
	if o.Author == "" {
		o.Author = defaultAuthor()
	}
	return nil
}

// Errors for missing options.
var (
	errNoLogService   = missingOption("log-service", "-log-service URL or the setting log_service")
	errNoInstanceList = missingOption("instance-list", "-instance-list URL or the setting instance_list")
	errNoLists        = missingOption("lists", "-lists DIRECTORY or the setting lists")
)

func missingOption(flag, allowed string) error {
	return finding.List{{File: "flags", Key: flag, Problem: "is missing", Allowed: allowed}}
}
