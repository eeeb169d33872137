package config

import (
	"cmp"
	"fmt"
	"reflect"
	"strings"
)

// ObjectKind is a kind of object, spelled like its table in a TOML file.
type ObjectKind string

// The kinds of object.
const (
	ObjectDataCentre ObjectKind = "data_centre"
	ObjectService    ObjectKind = "service"
	ObjectServer     ObjectKind = "server"
	ObjectRule       ObjectKind = "rule"
)

// Object identifies an object of a set.
type Object struct {
	Kind ObjectKind `json:"kind"`
	Name string     `json:"name"`
}

// String returns the kind and the name, as in "server hints-1".
func (o Object) String() string { return string(o.Kind) + " " + o.Name }

// Action is what a change does to an object.
type Action string

// The actions of a change.
const (
	ActionAdd    Action = "add"
	ActionRemove Action = "remove"
	ActionChange Action = "change"
)

// Change describes how one object differs between two sets.
type Change struct {
	Object Object        `json:"object"`
	Action Action        `json:"action"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange describes how one key of an object differs between two sets. An
// empty value means that the key is not set.
type FieldChange struct {
	Key string `json:"key"`
	Old string `json:"old"`
	New string `json:"new"`
}

// String returns the change as one line.
func (c Change) String() string {
	sign := map[Action]string{ActionAdd: "+", ActionRemove: "-", ActionChange: "~"}[c.Action]
	line := sign + " " + c.Object.String()
	for i, field := range c.Fields {
		separator := ", "
		if i == 0 {
			separator = ": "
		}
		line += separator + field.text(c.Action)
	}
	return line
}

func (f FieldChange) text(action Action) string {
	if action == ActionChange {
		return fmt.Sprintf("%s %s -> %s", f.Key, cmp.Or(f.Old, "unset"), cmp.Or(f.New, "unset"))
	}
	return fmt.Sprintf("%s %s", f.Key, cmp.Or(f.New, f.Old))
}

// Diff returns the changes from old to updated for display, sorted by kind and
// name. Both sets must be normalised.
func Diff(old, updated Set) []Change {
	var changes []Change
	changes = append(changes, diff(ObjectDataCentre, old.DataCentres, updated.DataCentres, DataCentre.key)...)
	changes = append(changes, diff(ObjectService, old.Services, updated.Services, Service.key)...)
	changes = append(changes, diff(ObjectServer, old.Servers, updated.Servers, Server.key)...)
	changes = append(changes, diff(ObjectRule, old.Rules, updated.Rules, Rule.key)...)
	return changes
}

func diff[K ~string, T any](kind ObjectKind, old, updated []T, key func(T) K) []Change {
	before := byKey(old, key)
	after := byKey(updated, key)
	var changes []Change
	for _, name := range sortedKeys(before, after) {
		object := Object{Kind: kind, Name: string(name)}
		previous, existed := before[name]
		next, exists := after[name]
		change := Change{Object: object, Action: ActionChange}
		switch {
		case !existed:
			change.Action = ActionAdd
		case !exists:
			change.Action = ActionRemove
		}
		change.Fields = diffFields(reflect.ValueOf(previous), reflect.ValueOf(next), "")
		if change.Action != ActionChange || len(change.Fields) > 0 {
			changes = append(changes, change)
		}
	}
	return changes
}

// diffFields compares only the keys that a file can set, so that timestamps set
// by the publisher are not reported as changes.
func diffFields(old, updated reflect.Value, prefix string) []FieldChange {
	var changes []FieldChange
	for i := range old.NumField() {
		tag := old.Type().Field(i).Tag.Get("toml")
		if tag == "" || tag == "-" || tag == "name" {
			continue
		}
		before, after := old.Field(i), updated.Field(i)
		if before.Kind() == reflect.Struct && before.Type().PkgPath() == reflect.TypeFor[Set]().PkgPath() {
			changes = append(changes, diffFields(before, after, prefix+tag+".")...)
			continue
		}
		if a, b := fieldText(before), fieldText(after); a != b {
			changes = append(changes, FieldChange{Key: prefix + tag, Old: a, New: b})
		}
	}
	return changes
}

func fieldText(v reflect.Value) string {
	if v.Kind() == reflect.Bool {
		return fmt.Sprint(v.Bool())
	}
	if v.IsZero() {
		return ""
	}
	if v.Kind() == reflect.Slice {
		return strings.Join(strings.Fields(strings.Trim(fmt.Sprint(v.Interface()), "[]")), "+")
	}
	return fmt.Sprint(v.Interface())
}
