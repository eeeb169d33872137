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
	// Host is the host that wrote the line.
	Host string
	// Kind is the event that the line reports, such as "placed".
	Kind string
	// Fields holds the keys and values, and Text the part of the line that holds them.
	Fields map[string]string
	Text   string
}

// linePattern matches a line of a log. Text before the time is ignored.
var linePattern = regexp.MustCompile(`(\d{4}-\d\d-\d\dT\S+) +\[[A-Z]+\] +(\S+): ([a-z_]+)(?:: (.*))?$`)

// fieldPattern matches a key with its value, which may be quoted.
var fieldPattern = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// timeLayout is the format of the times in a log.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// Read reads a log. Lines that are not in the log format are skipped.
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
	parts := linePattern.FindStringSubmatch(text)
	if parts == nil {
		return Line{}, false
	}
	at, err := time.Parse(timeLayout, parts[1])
	if err != nil {
		return Line{}, false
	}
	line := Line{Time: at, Host: parts[2], Kind: parts[3], Text: strings.TrimSpace(parts[4]), Fields: make(map[string]string)}
	for _, field := range fieldPattern.FindAllStringSubmatch(parts[4], -1) {
		value := field[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		line.Fields[field[1]] = value
	}
	return line, true
}
