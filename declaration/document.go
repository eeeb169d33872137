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

// MaxFileBytes is the maximum size of a file that Parse accepts.
const MaxFileBytes = 8 << 20

// Document is one parsed file.
type Document struct {
	// OnObject is called with a pointer to each element of an array of tables
	// and its origin. It may be nil.
	OnObject func(object any, origin Origin)

	file     string
	meta     toml.MetaData
	values   map[string]toml.Primitive
	index    lineIndex
	problems Problems
}

// Parse parses the TOML syntax of a file.
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

// Decode fills the struct that target points to, according to its toml tags. It
// continues after a problem, so that the result holds all valid values.
func (d *Document) Decode(target any) Problems {
	d.problems = nil
	d.decodeTable(reflect.ValueOf(target).Elem(), d.values, "", "", "")
	d.problems.Sort()
	return d.problems
}

func (d *Document) decodeTable(target reflect.Value, values map[string]toml.Primitive, path, object, key string) {
	fields := fieldsByKey(target)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fieldPath, fieldKey := joinPath(path, name), joinPath(key, name)
		field, ok := fields[name]
		if !ok {
			valid := slices.Sorted(maps.Keys(fields))
			d.report(fieldPath, object, fieldKey, "unknown key; valid keys are "+strings.Join(valid, ", "))
			continue
		}
		d.decodeField(field, values[name], fieldPath, object, fieldKey)
	}
}

func (d *Document) decodeField(field reflect.Value, value toml.Primitive, path, object, key string) {
	switch {
	case isTable(field.Type()):
		var values map[string]toml.Primitive
		if err := d.meta.PrimitiveDecode(value, &values); err != nil || !isTableValue(d.raw(value)) {
			d.report(path, object, key, "want a table")
			return
		}
		d.decodeTable(field, values, path, object, key)
	case field.Kind() == reflect.Slice && isTable(field.Type().Elem()):
		d.decodeArray(field, value, path, object, key)
	default:
		if reason := d.decodeValue(field, value); reason != "" {
			d.report(path, object, key, reason)
		}
	}
}

func (d *Document) decodeArray(field reflect.Value, value toml.Primitive, path, object, key string) {
	var elements []map[string]toml.Primitive
	if err := d.meta.PrimitiveDecode(value, &elements); err != nil || !isArrayOfTables(d.raw(value)) {
		d.report(path, object, key, fmt.Sprintf("want an array of tables [[%s]]", key))
		return
	}
	field.Set(reflect.MakeSlice(field.Type(), len(elements), len(elements)))
	for i, values := range elements {
		element := field.Index(i)
		elementPath := fmt.Sprintf("%s#%d", path, i+1)
		d.decodeTable(element, values, elementPath, d.label(values, key, i), "")
		if d.OnObject != nil {
			d.OnObject(element.Addr().Interface(), d.origin(elementPath))
		}
	}
}

// raw returns a value with the type that it has in the file. The library decodes
// a value that is not a table into a map without an error, so callers check the
// type.
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

// label returns the table and the name of an object, or its number if it has no
// name.
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
		// The library would decode an integer as nanoseconds.
		var text string
		if err := d.meta.PrimitiveDecode(value, &text); err != nil {
			return `want a duration with a unit, such as "500ms"`
		}
	}
	if err := d.meta.PrimitiveDecode(value, field.Addr().Interface()); err != nil {
		return errorText(err)
	}
	if (field.CanInt() || field.CanUint() || field.CanFloat()) && field.IsZero() {
		// A zero field means that the key was omitted, so 0 can't be set explicitly.
		return "is 0: omit the key to use its default"
	}
	return ""
}

func (d *Document) report(path, object, key, reason string) {
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
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return max(parseErr.Position.Line, 1)
	}
	return 1
}

var (
	errorPosition = regexp.MustCompile(`^(toml: )?(line \d+ \(last key "[^"]*"\): )?`)
	typeMismatch  = regexp.MustCompile(`^incompatible types: TOML value has type ([a-z0-9]+); destination has type ([a-z0-9]+)`)
)

// errorText returns the library's error message without the position.
func errorText(err error) string {
	var parseErr toml.ParseError
	text := err.Error()
	if errors.As(err, &parseErr) {
		text = parseErr.Message
	}
	text = strings.TrimPrefix(text, errorPosition.FindString(text))
	if m := typeMismatch.FindStringSubmatch(text); m != nil {
		return fmt.Sprintf("want type %s, not %s", m[2], m[1])
	}
	return text
}
