// Package declaration reads TOML files that people write. It reports every
// fault of a file at once, each with its file, line and object, and refuses
// unknown keys and values of the wrong type.
//
// Parse splits a file into tables; Document.Decode fills a struct by its toml
// tags and gives the origin of each object, by which later checks name a line.
package declaration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a declaration.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`   // from 1; 0 when unknown
	Object string `json:"object"` // such as "server hints-1"; empty for a whole file
	Key    string `json:"key"`    // such as "flow.idle_timeout"; may be empty
	Reason string `json:"reason"`
}

// IsOfFile reports whether the file as a whole could not be read, so that
// nothing is known of its objects.
func (p Problem) IsOfFile() bool { return p.File != "" && p.Object == "" && p.Key == "" }

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

// Problems is every fault found. It is an error when it is not empty.
type Problems []Problem

// Error returns the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil when there is no problem.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Merge returns the problems of p and those of more, in the order of files and
// lines. What later checks say about a key that could not be read is dropped.
func (p Problems) Merge(more Problems) Problems {
	type place struct {
		file string
		line int
	}
	seen := make(map[place][]string, len(p))
	for _, problem := range p {
		at := place{problem.File, problem.Line}
		seen[at] = append(seen[at], problem.Key)
	}
	merged := slices.Clone(p)
	for _, problem := range more {
		known := seen[place{problem.File, problem.Line}]
		if !slices.ContainsFunc(known, func(key string) bool { return sameKey(key, problem.Key) }) {
			merged = append(merged, problem)
		}
	}
	merged.Sort()
	return merged
}

// sameKey reports whether two paths name one key, of which either may start at
// an inner table.
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
