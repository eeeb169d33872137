package explain

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Line is one line of a log.
type Line struct {
	Time time.Time
	// Host wrote the line.
	Host string
	// Kind says what the line is about, such as "placed".
	Kind string
	// Fields holds the keys and values, and Text how they stood in the log.
	Fields map[string]string
	Text   string
}

// lineForm is a line of a log. Whatever stands before the time is left out.
var lineForm = regexp.MustCompile(`(\d{4}-\d\d-\d\dT\S+) +\[[A-Z]+\] +(\S+): ([a-z_]+)(?:: (.*))?$`)

// fieldForm is a key with a value, which may be quoted.
var fieldForm = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// timeForm is that of the logs.
const timeForm = "2006-01-02T15:04:05.000Z0700"

// Read reads a log. Lines of another form are left out.
func Read(name string, r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	return lines, nil
}

func parse(text string) (Line, bool) {
	parts := lineForm.FindStringSubmatch(text)
	if parts == nil {
		return Line{}, false
	}
	at, err := time.Parse(timeForm, parts[1])
	if err != nil {
		return Line{}, false
	}
	line := Line{Time: at, Host: parts[2], Kind: parts[3], Text: strings.TrimSpace(parts[4]), Fields: make(map[string]string)}
	for _, field := range fieldForm.FindAllStringSubmatch(parts[4], -1) {
		value := field[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		line.Fields[field[1]] = value
	}
	return line, true
}
