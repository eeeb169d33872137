// Package declaration reads TOML files written by operators. It reports all
// problems of a file at once, each with its file, line and object, and rejects
// unknown keys and values of the wrong type.
//
// Parse splits a file into tables. Document.Decode fills a struct according to
// its toml tags and provides the origin of each object, so that later checks can
// report line numbers.
package declaration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is an error in a declaration.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`   // from 1; 0 if unknown
	Object string `json:"object"` // such as "server hints-1"; empty for a whole file
	Key    string `json:"key"`    // such as "flow.idle_timeout"; may be empty
	Reason string `json:"reason"`
}

// IsFileLevel reports whether the problem concerns the file as a whole, so that
// none of its objects were decoded.
func (p Problem) IsFileLevel() bool { return p.File != "" && p.Object == "" && p.Key == "" }

// String returns the problem as one line.
func (p Problem) String() string {
	var parts []string
	if p.File != "" {
		parts = append(parts, fmt.Sprintf("%s:%d", p.File, p.Line))
	}
	if p.Object != "" {
		parts = append(parts, p.Object)
	}
	if p.Key != "" {
		parts = append(parts, p.Key)
	}
	return strings.Join(append(parts, p.Reason), ": ")
}

// Problems is a list of problems. A non-empty list is an error.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil if p is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Merge returns the problems of p and of more, sorted. A problem of more is
// dropped if p has one with the same key on the same line: a check of a key that
// could not be decoded is meaningless.
func (p Problems) Merge(more Problems) Problems {
	type location struct {
		file string
		line int
	}
	seen := make(map[location][]string, len(p))
	for _, problem := range p {
		at := location{problem.File, problem.Line}
		seen[at] = append(seen[at], problem.Key)
	}
	merged := slices.Clone(p)
	for _, problem := range more {
		keys := seen[location{problem.File, problem.Line}]
		if !slices.ContainsFunc(keys, func(key string) bool { return sameKey(key, problem.Key) }) {
			merged = append(merged, problem)
		}
	}
	merged.Sort()
	return merged
}

// sameKey reports whether two paths refer to the same key. Either path may be
// relative to an inner table.
func sameKey(a, b string) bool {
	return a == b || strings.HasSuffix(b, "."+a) || strings.HasSuffix(a, "."+b)
}

// Sort orders problems by file, line, object, key and reason.
func (p Problems) Sort() {
	slices.SortFunc(p, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Object, b.Object),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Reason, b.Reason),
		)
	})
}
