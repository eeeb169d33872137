package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/rattanthread/rattanthread/declaration"
	"github.com/rattanthread/rattanthread/settings"
)

func TestEveryKeyIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range declaration.Keys(settings.Settings{}) {
		if !strings.Contains(string(page), "\n| `"+key+"` |") {
			t.Errorf("docs/SETTINGS.md has no row for %s", key)
		}
	}
}
