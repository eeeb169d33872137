package demo

import (
	"github.com/hashicorp/go-hclog"

	"github.com/rattanthread/rattanthread/host"
	"github.com/rattanthread/rattanthread/settings"
)

func (d *Demo) newHost(s settings.Settings) EntryHost {
	if d.NewHost != nil {
		return d.NewHost(s)
	}
	h := &host.Host{Settings: s, Logger: d.logger(s)}
	return EntryHost{Run: h.Run, Kill: h.Kill, Ready: h.Ready}
}

// logger returns a logger that adds the host to each line, or nil without a Logger.
func (d *Demo) logger(s settings.Settings) hclog.Logger {
	if d.Logger == nil {
		return nil
	}
	return d.Logger.With("host", s.Host)
}
