// Package examples holds the example configuration and settings, which the
// tests check and the try command runs.
package examples

import "embed"

// Files holds the directories configuration and settings.
//
//go:embed configuration settings
var Files embed.FS
