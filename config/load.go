package config

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/declaration"
)

// Problem is an error in a declaration.
type Problem = declaration.Problem

// Problems is a list of problems. A non-empty list is an error.
type Problems = declaration.Problems

// File is the content of one declaration file.
type File struct {
	Name string
	Data []byte
}

// Load reads the objects from files and from the *.toml files below directories.
// The error is of type Problems if a file could be read but is invalid; the set
// then holds the valid parts. Load doesn't check the set: see Check.
func Load(paths ...string) (Set, error) {
	var files []File
	for _, path := range paths {
		found, err := readFiles(filepath.Clean(path))
		if err != nil {
			return Set{}, err
		}
		for _, file := range found {
			// The paths may include both a file and its directory.
			if !slices.ContainsFunc(files, func(f File) bool { return f.Name == file.Name }) {
				files = append(files, file)
			}
		}
	}
	if len(files) == 0 {
		return Set{}, errors.Errorf("load configuration: no .toml file in %s", strings.Join(paths, ", "))
	}
	return Parse(files...)
}

// LoadFS reads the objects from the *.toml files of a file system, as Load does.
func LoadFS(fsys fs.FS) (Set, error) {
	names, err := tomlFiles(fsys)
	if err != nil {
		return Set{}, errors.Wrap(err, "load configuration")
	}
	files := make([]File, len(names))
	for i, name := range names {
		data, err := fs.ReadFile(fsys, name)
		if err != nil {
			return Set{}, errors.Wrap(err, "load configuration")
		}
		files[i] = File{Name: name, Data: data}
	}
	return Parse(files...)
}

// Parse reads the objects from files that are already in memory. The error is of
// type Problems if a file is invalid.
func Parse(files ...File) (Set, error) {
	var set Set
	var problems Problems
	for _, file := range files {
		part, found := parseFile(file)
		problems = append(problems, found...)
		set.DataCentres = append(set.DataCentres, part.DataCentres...)
		set.Services = append(set.Services, part.Services...)
		set.Servers = append(set.Servers, part.Servers...)
		set.Rules = append(set.Rules, part.Rules...)
	}
	problems.Sort()
	return set, problems.Err()
}

// LoadChecked loads, checks and normalises a set. The error holds every problem
// of the files and of the set as a whole. The set as a whole is not checked if a
// file has a syntax error, because its objects are then missing.
func LoadChecked(paths ...string) (Set, error) {
	set, err := Load(paths...)
	problems, ok := errors.Into[Problems](err)
	if err != nil && !ok {
		return Set{}, err
	}
	if !slices.ContainsFunc(problems, Problem.IsFileLevel) {
		problems = problems.Merge(Check(set))
	}
	return set.Normalised(), problems.Err()
}

func parseFile(file File) (Set, Problems) {
	var set Set
	document, problems := declaration.Parse(file.Name, file.Data)
	if len(problems) > 0 {
		return set, problems
	}
	document.OnObject = setOrigin
	return set, document.Decode(&set)
}

func setOrigin(object any, origin declaration.Origin) {
	switch object := object.(type) {
	case *DataCentre:
		object.origin = &origin
	case *Service:
		object.origin = &origin
	case *Server:
		object.origin = &origin
	case *Rule:
		object.origin = &origin
	}
}

func readFiles(path string) ([]File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "load configuration")
	}
	if !info.IsDir() {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "load configuration")
		}
		return []File{{Name: path, Data: data}}, nil
	}
	names, err := tomlFiles(os.DirFS(path))
	if err != nil {
		return nil, errors.Wrap(err, "load configuration")
	}
	files := make([]File, len(names))
	for i, name := range names {
		name = filepath.Join(path, filepath.FromSlash(name))
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "load configuration")
		}
		files[i] = File{Name: name, Data: data}
	}
	return files, nil
}

// tomlFiles returns the sorted names of the *.toml files of a file system,
// without hidden files and directories.
func tomlFiles(fsys fs.FS) ([]string, error) {
	var names []string
	err := fs.WalkDir(fsys, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := name != "." && strings.HasPrefix(entry.Name(), ".")
		switch {
		case hidden && entry.IsDir():
			return fs.SkipDir
		case !hidden && !entry.IsDir() && strings.HasSuffix(name, ".toml"):
			names = append(names, name)
		}
		return nil
	})
	slices.Sort(names)
	return names, err
}
