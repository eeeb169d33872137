package config_test

import (
	"os"
	"strings"
	"testing"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/declaration"
)

func TestEveryKeyIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range declaration.Keys(config.Set{}) {
		if !strings.Contains(string(page), "\n| `"+key+"` |") {
			t.Errorf("docs/CONFIGURATION.md has no row for %s", key)
		}
	}
}
