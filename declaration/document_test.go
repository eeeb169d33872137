package declaration_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/declaration"
)

type fruit struct {
	Name  string        `toml:"name"`
	Note  string        `toml:"note"`
	Grams int           `toml:"grams"`
	Ripe  time.Duration `toml:"ripe"`
	Seed  struct {
		Count int `toml:"count"`
	} `toml:"seed"`
}

type basket struct {
	Fruit []fruit `toml:"fruit"`
}

// TestLines checks the line number and the message of each problem.
func TestLines(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"multi-line string": {
			"[[fruit]]\nname = \"fig\"\nnote = \"\"\"\n[[fruit]]\ngrams = 1\n\"\"\"\ngrams = \"x\"\n",
			"f:7: fruit fig: grams: want type integer, not string",
		},
		"multi-line literal": {
			"[[fruit]]\nnote = '''a \"\"\" b\n[[fruit]]'''\n[[fruit]]\ngrams = true\n",
			"f:5: fruit #2: grams: want type integer, not bool",
		},
		"inner table": {
			"[[fruit]]\nname = \"fig\"\n\n[fruit.seed]\ncount = 0\n\n[[fruit]]\nname = \"kiwi\"\n[fruit.seed]\nnumber = 1\n",
			"f:5: fruit fig: seed.count: is 0: omit the key to use its default\n" +
				"f:10: fruit kiwi: seed.number: unknown key; valid keys are count",
		},
		"dotted key":                {"[[fruit]]\nseed.count = 1.5\n", "f:2: fruit #1: seed.count: want type integer, not float64"},
		"inline array":              {"\nfruit = [{name = \"fig\", grams = 0}]\n", "f:2: fruit fig: grams: is 0: omit the key to use its default"},
		"number as array of tables": {"fruit = 3\n", "f:1: fruit: want an array of tables [[fruit]]"},
		"array of numbers":          {"fruit = [1, 2]\n", "f:1: fruit: want an array of tables [[fruit]]"},
		"number as table":           {"[[fruit]]\nseed = 1\n", "f:2: fruit #1: seed: want a table"},
		"duration":                  {"[[fruit]]\nripe = \"5\"\n", "f:2: fruit #1: ripe: invalid duration: \"5\""},
		"duplicate key":             {"[[fruit]]\ngrams = 1\ngrams = 2\n", "f:3: Key 'fruit.grams' has already been defined."},
		"too long":                  {strings.Repeat("#", declaration.MaxFileBytes+1), "f:1: file has 8388609 bytes, more than 8388608"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			document, problems := declaration.Parse("f", []byte(test.text))
			if len(problems) == 0 {
				var b basket
				problems = document.Decode(&b)
			}
			is.Equal(problems.Error(), test.want)
		})
	}
}
