// Package examples embeds the example configuration and settings, which the tests
// check and the try command uses.
package examples

import "embed"

// Files contains the directories configuration and settings.
//
//go:embed configuration settings
var Files embed.FS
