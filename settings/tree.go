package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io/fs"
	"maps"
	"path"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// FileName is the name of a level's settings file in a directory tree.
const FileName = "settings.toml"

// Root is the path of the deployment level, from which all other levels inherit.
const Root = "/"

// maxDepth is the number of levels below the root: region, failure domain and VM.
const maxDepth = 3

var levelNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

// Sources maps the path of each level, such as "/caldas-centro/chipre", to its TOML text.
type Sources map[string]string

// digestBytes truncates the hash to 128 bits, at which a collision among millions of texts is practically impossible.
const digestBytes = 16

// Digest returns a digest of a level's text in hexadecimal.
func Digest(source string) string {
	sum := sha256.Sum256([]byte(source))
	return hex.EncodeToString(sum[:digestBytes])
}

// Tree is a validated settings tree. It is immutable and safe for concurrent use.
type Tree struct {
	sources Sources
	leaves  map[string]map[string]leaf
}

// Parse parses and validates a whole tree. Its error type is Problems, with the problems of all levels.
func Parse(sources Sources) (*Tree, error) {
	tree := &Tree{sources: maps.Clone(sources), leaves: map[string]map[string]leaf{}}
	var problems []Problem
	for _, level := range slices.Sorted(maps.Keys(sources)) {
		file := levelFile(level)
		if message := checkLevelPath(level); message != "" {
			problems = append(problems, Problem{File: file, Message: message})
			continue
		}
		leaves, found := parseFile(file, []byte(sources[level]), reflect.TypeFor[Effective]())
		problems = append(problems, found...)
		tree.leaves[level] = leaves
	}
	if len(problems) == 0 {
		problems = tree.checkLevels()
	}
	if len(problems) > 0 {
		return nil, Problems(problems)
	}
	return tree, nil
}

func levelFile(level string) string {
	return strings.TrimPrefix(path.Join(level, FileName), "/")
}

// checkLevelPath returns a message if a level path is invalid, or "".
func checkLevelPath(level string) string {
	if level == Root {
		return ""
	}
	names := strings.Split(strings.TrimPrefix(level, "/"), "/")
	if len(names) > maxDepth {
		return fmt.Sprintf("level %s is too deep; a tree has the levels region, failure domain and VM", level)
	}
	for _, name := range names {
		if !levelNamePattern.MatchString(name) {
			return fmt.Sprintf("%q is no level name; allowed are lower-case letters, digits and -", name)
		}
	}
	return ""
}

// ReadDir reads the text of all levels from a directory tree. Directories without a settings file are skipped.
func ReadDir(root fs.FS) (Sources, error) {
	sources := Sources{}
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || entry.Name() != FileName {
			return err
		}
		data, err := fs.ReadFile(root, name)
		if err != nil {
			return err
		}
		sources[path.Join("/", path.Dir(name))] = string(data)
		return nil
	})
	if err != nil {
		return nil, errors.Annotate(err, "settings tree")
	}
	if len(sources) == 0 {
		return nil, errors.Errorf("no %s found", FileName)
	}
	return sources, nil
}

// Sources returns the text of each level.
func (t *Tree) Sources() Sources { return maps.Clone(t.sources) }

// Levels returns the paths of all levels in order.
func (t *Tree) Levels() []string { return slices.Sorted(maps.Keys(t.sources)) }

// Resolve returns the effective settings at a path. A path without a level in the tree inherits all its values.
func (t *Tree) Resolve(level string) Effective {
	target := newWithDefaults(reflect.TypeFor[Effective]())
	for _, ancestor := range ancestors(level) {
		apply(target, t.leaves[ancestor])
	}
	return target.Interface().(Effective)
}

// Defaults returns the settings of an empty tree.
func Defaults() Effective {
	return (&Tree{}).Resolve(Root)
}

// DefaultService returns the settings of a service that no level configures.
func DefaultService() Service {
	return newWithDefaults(reflect.TypeFor[Service]()).Interface().(Service)
}

// ancestors returns the paths from the root down to level, including both.
func ancestors(level string) []string {
	levels := []string{Root}
	at := ""
	for name := range strings.SplitSeq(strings.Trim(level, "/"), "/") {
		if name == "" {
			continue
		}
		at += "/" + name
		levels = append(levels, at)
	}
	return levels
}

// Explanation describes where the value of a key at a path comes from.
type Explanation struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	// Value is in TOML syntax.
	Value string `json:"value"`
	// Level is the path of the level that sets the value, or "default".
	Level string `json:"level"`
	// File and Line locate the value; empty for a default.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
}

// Explain returns the value of a dotted key at a path and the level that sets it.
func (t *Tree) Explain(level, key string) (Explanation, error) {
	target := reflect.ValueOf(t.Resolve(level))
	value, err := lookup(target, key)
	if err != nil {
		return Explanation{}, err
	}
	explanation := Explanation{Path: level, Key: key, Value: formatValue(value), Level: "default"}
	for _, ancestor := range ancestors(level) {
		if l, ok := t.leaves[ancestor][key]; ok {
			explanation.Level = ancestor
			explanation.File = levelFile(ancestor)
			explanation.Line = l.line
		}
	}
	return explanation, nil
}

// lookup returns the value at a dotted key of a settings struct.
func lookup(v reflect.Value, key string) (reflect.Value, error) {
	at := ""
	for part := range strings.SplitSeq(key, ".") {
		at = join(at, part)
		switch v.Kind() {
		case reflect.Map:
			v = v.MapIndex(reflect.ValueOf(part))
			if !v.IsValid() {
				return v, errors.NotFoundf("%s at this level", at)
			}
		case reflect.Struct:
			f, ok := findField(v.Type(), part)
			if !ok {
				return v, errors.NotFoundf("key %s (allowed are %s)", at, strings.Join(keysOf(v.Type()), ", "))
			}
			v = v.Field(f.index)
		default:
			return v, errors.NotFoundf("key %s", key)
		}
	}
	if isTable(v.Type()) {
		return v, errors.NewNotValid(nil, key+" is a table; name one of its keys")
	}
	return v, nil
}

// formatValue formats a value in TOML syntax.
func formatValue(v reflect.Value) string {
	if text, ok := v.Interface().(fmt.Stringer); ok {
		return strconv.Quote(text.String())
	}
	switch v.Kind() {
	case reflect.String:
		return strconv.Quote(v.String())
	case reflect.Slice:
		elements := make([]string, v.Len())
		for i := range elements {
			elements[i] = formatValue(v.Index(i))
		}
		return "[" + strings.Join(elements, ", ") + "]"
	case reflect.Struct:
		var pairs []string
		for _, f := range fieldsOf(v.Type()) {
			if !v.Field(f.index).IsZero() {
				pairs = append(pairs, f.key+" = "+formatValue(v.Field(f.index)))
			}
		}
		return "{ " + strings.Join(pairs, ", ") + " }"
	default:
		return fmt.Sprint(v.Interface())
	}
}

// Change is one key that a level sets differently in two trees.
type Change struct {
	Level string `json:"level"`
	Key   string `json:"key"`
	// Old and New are in TOML syntax; empty if the level does not set the key.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// Diff returns the keys that the levels of two trees set differently, ordered by level and key. A nil tree is empty.
func Diff(from, to *Tree) []Change {
	var changes []Change
	for _, level := range unionKeys(from.levelLeaves(), to.levelLeaves()) {
		oldLeaves, newLeaves := from.levelLeaves()[level], to.levelLeaves()[level]
		for _, key := range unionKeys(oldLeaves, newLeaves) {
			change := Change{Level: level, Key: key, Old: formatLeaf(oldLeaves, key), New: formatLeaf(newLeaves, key)}
			if change.Old != change.New {
				changes = append(changes, change)
			}
		}
	}
	return changes
}

func (t *Tree) levelLeaves() map[string]map[string]leaf {
	if t == nil {
		return nil
	}
	return t.leaves
}

func unionKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

// formatLeaf returns the value that a level sets in TOML syntax, or "" if it sets none. An empty table is "{}"; a table
// with keys is "", because its keys are compared individually.
func formatLeaf(leaves map[string]leaf, key string) string {
	l, ok := leaves[key]
	switch {
	case !ok:
		return ""
	case l.value.IsValid():
		return formatValue(l.value)
	}
	for other := range leaves {
		if strings.HasPrefix(other, key+".") {
			return ""
		}
	}
	return "{}"
}
