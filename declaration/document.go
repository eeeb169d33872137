package declaration

import (
	"encoding"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// MaxFileBytes is the size of the longest file that Parse reads.
const MaxFileBytes = 8 << 20

// Document is one parsed file.
type Document struct {
	// Declared is called with a pointer to each element of an array of tables
	// and its origin. It may be nil.
	Declared func(object any, origin Origin)

	file     string
	meta     toml.MetaData
	values   map[string]toml.Primitive
	index    lineIndex
	problems Problems
}

// Parse reads the syntax of a file.
func Parse(file string, data []byte) (*Document, Problems) {
	d := &Document{file: file}
	if len(data) > MaxFileBytes {
		reason := fmt.Sprintf("file has %d bytes, more than %d", len(data), MaxFileBytes)
		return d, Problems{{File: file, Line: 1, Reason: reason}}
	}
	meta, err := toml.Decode(string(data), &d.values)
	if err != nil {
		return d, Problems{{File: file, Line: errorLine(err), Reason: errorText(err)}}
	}
	d.meta = meta
	d.index = indexLines(string(data))
	d.index.splitObjects()
	return d, nil
}

// Origin returns the origin of the file as a whole.
func (d *Document) Origin() Origin {
	return Origin{File: d.file, Line: 1, keys: d.index.lines}
}

// Decode fills the struct that target points to by its toml tags. It goes on
// after a fault, so that the result holds whatever could be read.
func (d *Document) Decode(target any) Problems {
	d.problems = nil
	d.decodeTable(reflect.ValueOf(target).Elem(), d.values, "", "", "")
	d.problems.Sort()
	return d.problems
}

func (d *Document) decodeTable(target reflect.Value, values map[string]toml.Primitive, path, object, key string) {
	fields := fieldsByKey(target)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		p, k := joinPath(path, name), joinPath(key, name)
		field, ok := fields[name]
		if !ok {
			known := slices.Sorted(maps.Keys(fields))
			d.fail(p, object, k, "unknown key; the keys here are "+strings.Join(known, ", "))
			continue
		}
		d.decodeField(field, values[name], p, object, k)
	}
}

func (d *Document) decodeField(field reflect.Value, value toml.Primitive, path, object, key string) {
	switch {
	case isTable(field.Type()):
		var values map[string]toml.Primitive
		if err := d.meta.PrimitiveDecode(value, &values); err != nil || !isTableValue(d.raw(value)) {
			d.fail(path, object, key, "want a table")
			return
		}
		d.decodeTable(field, values, path, object, key)
	case field.Kind() == reflect.Slice && isTable(field.Type().Elem()):
		d.decodeArray(field, value, path, object, key)
	default:
		if reason := d.decodeValue(field, value); reason != "" {
			d.fail(path, object, key, reason)
		}
	}
}

func (d *Document) decodeArray(field reflect.Value, value toml.Primitive, path, object, key string) {
	var elements []map[string]toml.Primitive
	if err := d.meta.PrimitiveDecode(value, &elements); err != nil || !isArrayOfTables(d.raw(value)) {
		d.fail(path, object, key, fmt.Sprintf("want tables under [[%s]]", key))
		return
	}
	field.Set(reflect.MakeSlice(field.Type(), len(elements), len(elements)))
	for i, values := range elements {
		element := field.Index(i)
		elementPath := fmt.Sprintf("%s#%d", path, i+1)
		d.decodeTable(element, values, elementPath, d.label(values, key, i), "")
		if d.Declared != nil {
			d.Declared(element.Addr().Interface(), d.origin(elementPath))
		}
	}
}

// raw returns a value as the library understands it. The library decodes what
// is not a table into a map without an error, so its type has to be looked at.
func (d *Document) raw(value toml.Primitive) any {
	var raw any
	_ = d.meta.PrimitiveDecode(value, &raw)
	return raw
}

func isTableValue(raw any) bool {
	_, ok := raw.(map[string]any)
	return ok
}

func isArrayOfTables(raw any) bool {
	switch values := raw.(type) {
	case []map[string]any:
		return true
	case []any:
		return !slices.ContainsFunc(values, func(v any) bool { return !isTableValue(v) })
	default:
		return false
	}
}

// label names an object by its table and its name, or by its number.
func (d *Document) label(values map[string]toml.Primitive, key string, i int) string {
	var name string
	if value, ok := values["name"]; ok {
		_ = d.meta.PrimitiveDecode(value, &name)
	}
	if name == "" {
		name = fmt.Sprintf("#%d", i+1)
	}
	return key + " " + name
}

func (d *Document) origin(path string) Origin {
	return Origin{File: d.file, Line: d.index.lineOf(path), keys: d.index.objects[path]}
}

func (d *Document) decodeValue(field reflect.Value, value toml.Primitive) string {
	if field.Type() == reflect.TypeFor[time.Duration]() {
		// The library would read a bare integer as nanoseconds.
		var text string
		if err := d.meta.PrimitiveDecode(value, &text); err != nil {
			return `want a duration with its unit, such as "500ms"`
		}
	}
	if err := d.meta.PrimitiveDecode(value, field.Addr().Interface()); err != nil {
		return errorText(err)
	}
	if (field.CanInt() || field.CanUint() || field.CanFloat()) && field.IsZero() {
		// A zero field stands for a key that is left out, so it can't be asked for.
		return "is 0: leave the key out to get its default"
	}
	return ""
}

func (d *Document) fail(path, object, key, reason string) {
	d.problems = append(d.problems, Problem{
		File: d.file, Line: d.index.lineOf(path), Object: object, Key: key, Reason: reason,
	})
}

func fieldsByKey(target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range target.NumField() {
		key, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("toml"), ",")
		if key != "" && key != "-" {
			fields[key] = target.Field(i)
		}
	}
	return fields
}

// isTable reports whether values of the type are written as tables.
func isTable(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

func errorLine(err error) int {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return max(parse.Position.Line, 1)
	}
	return 1
}

var (
	errorPosition = regexp.MustCompile(`^(toml: )?(line \d+ \(last key "[^"]*"\): )?`)
	typeMismatch  = regexp.MustCompile(`^incompatible types: TOML value has type ([a-z0-9]+); destination has type ([a-z0-9]+)`)
)

// errorText returns what the library says, without the position.
func errorText(err error) string {
	var parse toml.ParseError
	text := err.Error()
	if errors.As(err, &parse) {
		text = parse.Message
	}
	text = strings.TrimPrefix(text, errorPosition.FindString(text))
	if m := typeMismatch.FindStringSubmatch(text); m != nil {
		return fmt.Sprintf("want type %s, not %s", m[2], m[1])
	}
	return text
}
