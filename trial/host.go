package trial

import (
	"github.com/hashicorp/go-hclog"

	"github.com/rattanthread/rattanthread/host"
	"github.com/rattanthread/rattanthread/settings"
)

func (t *Trial) newHost(s settings.Settings) EntryHost {
	if t.NewHost != nil {
		return t.NewHost(s)
	}
	h := &host.Host{Settings: s, Logger: t.logger(s)}
	return EntryHost{Run: h.Run, Kill: h.Kill, Ready: h.Ready}
}

// logger returns a logger that adds the host to each line, or nil without a Logger.
func (t *Trial) logger(s settings.Settings) hclog.Logger {
	if t.Logger == nil {
		return nil
	}
	return t.Logger.With("host", s.Host)
}
