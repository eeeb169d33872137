package settings

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/declaration"
)

// Load reads and checks a settings file. The error is of type
// declaration.Problems if the file could be read but is invalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "load settings")
	}
	return Parse(path, data)
}

// Parse parses and checks settings that are already in memory. Errors contain
// name as the file name.
func Parse(name string, data []byte) (Settings, error) {
	var s Settings
	document, problems := declaration.Parse(name, data)
	if len(problems) > 0 {
		return s, problems
	}
	problems = document.Decode(&s)
	s = s.Normalised()
	problems = problems.Merge(check(s, document.Origin()))
	return s, problems.Err()
}

// Validate checks settings that were not read from a file. Defaults must be
// filled in.
func (s Settings) Validate() error {
	return check(s, declaration.Origin{}).Err()
}
