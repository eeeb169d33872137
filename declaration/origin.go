package declaration

import (
	"fmt"
	"regexp"
	"strings"
)

// Origin is the position at which an object was declared. The zero value means
// that the object was not read from a file.
type Origin struct {
	File string
	Line int
	keys map[string]int
}

// LineOf returns the line of a key of the object, such as "flow.idle_timeout".
// If the key is not set, it returns the line of the innermost table that would
// contain it, or that of the object.
func (o Origin) LineOf(key string) int {
	for key != "" {
		if line, ok := o.keys[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexByte(key, '.'), 0)]
	}
	return o.Line
}

// Has reports whether the file sets the key of the object.
func (o Origin) Has(key string) bool {
	_, ok := o.keys[key]
	return ok
}

// Problem returns a problem with a key of the object.
func (o Origin) Problem(object, key, reason string) Problem {
	return Problem{File: o.File, Line: o.LineOf(key), Object: object, Key: key, Reason: reason}
}

var (
	arrayHeader = regexp.MustCompile(`^\[\[\s*([A-Za-z0-9_.\-" ]+?)\s*\]\]`)
	tableHeader = regexp.MustCompile(`^\[\s*([A-Za-z0-9_.\-" ]+?)\s*\]`)
	keyValue    = regexp.MustCompile(`^([A-Za-z0-9_.\-"]+)\s*=`)
)

// lineIndex maps the path of each table and key to its line. The path contains
// the numbers of elements of arrays of tables, as in "server#3.weight".
type lineIndex struct {
	lines   map[string]int
	counts  map[string]int
	objects map[string]map[string]int // element path to key to line
	prefix  string
}

func indexLines(data string) lineIndex {
	x := lineIndex{lines: map[string]int{}, counts: map[string]int{}}
	quote := ""
	number := 0
	for line := range strings.Lines(data) {
		number++
		if quote == "" {
			x.addLine(strings.TrimSpace(line), number)
		}
		quote = openQuote(line, quote)
	}
	return x
}

// openQuote returns the delimiter of the multi-line string that is open at the end
// of line, or "".
func openQuote(line, quote string) string {
	for {
		switch i, delimiter := nextDelimiter(line, quote); {
		case i < 0:
			return quote
		case quote == "":
			quote = delimiter
			line = line[i+3:]
		default:
			quote = ""
			line = line[i+3:]
		}
	}
}

func nextDelimiter(line, quote string) (int, string) {
	if quote != "" {
		return strings.Index(line, quote), quote
	}
	basic := strings.Index(line, `"""`)
	literal := strings.Index(line, `'''`)
	if literal >= 0 && (basic < 0 || literal < basic) {
		return literal, `'''`
	}
	return basic, `"""`
}

func (x *lineIndex) addLine(line string, number int) {
	if m := arrayHeader.FindStringSubmatch(line); m != nil {
		path := x.resolve(m[1])
		x.counts[path]++
		x.prefix = fmt.Sprintf("%s#%d", path, x.counts[path])
		x.lines[x.prefix] = number
		return
	}
	if m := tableHeader.FindStringSubmatch(line); m != nil {
		x.prefix = x.resolve(m[1])
		x.lines[x.prefix] = number
		return
	}
	if m := keyValue.FindStringSubmatch(line); m != nil {
		x.lines[joinPath(x.prefix, strings.ReplaceAll(m[1], `"`, ""))] = number
	}
}

// resolve returns the path of a header, with the number of the latest element
// after each array of tables on the path.
func (x *lineIndex) resolve(header string) string {
	parts := strings.Split(strings.ReplaceAll(header, `"`, ""), ".")
	path := ""
	for i, part := range parts {
		path = joinPath(path, strings.TrimSpace(part))
		if n := x.counts[path]; n > 0 && i < len(parts)-1 {
			path = fmt.Sprintf("%s#%d", path, n)
		}
	}
	return path
}

// splitObjects groups the keys by the element of an array of tables that contains
// them.
func (x *lineIndex) splitObjects() {
	x.objects = map[string]map[string]int{}
	for path, line := range x.lines {
		object, key := splitObject(path)
		if object == "" || key == "" {
			continue
		}
		if x.objects[object] == nil {
			x.objects[object] = map[string]int{}
		}
		x.objects[object][key] = line
	}
}

// splitObject splits a path after the last element number.
func splitObject(path string) (object, key string) {
	i := strings.LastIndexByte(path, '#')
	if i < 0 {
		return "", path
	}
	j := strings.IndexByte(path[i:], '.')
	if j < 0 {
		return path, ""
	}
	return path[:i+j], path[i+j+1:]
}

func (x *lineIndex) lineOf(path string) int {
	for path != "" {
		if line, ok := x.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".#"), 0)]
	}
	return 1
}

func joinPath(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
