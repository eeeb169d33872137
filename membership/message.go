package membership

import "github.com/rattanthread/rattanthread/fleet"

// Messages returns one zero value of every message of this package.
func Messages() []fleet.Message { return nil }
