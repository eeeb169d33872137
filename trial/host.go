package trial

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/settings"
)

func (t *Trial) newHost(s settings.Settings) EntryHost {
	if t.NewHost != nil {
		return t.NewHost(s)
	}
	return EntryHost{
		Run:   func(context.Context) error { return errors.New("no entry host") },
		Kill:  func() {},
		Ready: func() bool { return false },
	}
}
