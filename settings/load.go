package settings

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/declaration"
)

// Load reads and checks a settings file. The error is declaration.Problems when
// the file could be read but something in it is wrong.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "load settings")
	}
	return Parse(path, data)
}

// Parse reads and checks settings that are already in memory; name stands for
// the file in errors.
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

// Validate checks settings that were not read from a file, with defaults filled in.
func (s Settings) Validate() error {
	return check(s, declaration.Origin{}).Err()
}
