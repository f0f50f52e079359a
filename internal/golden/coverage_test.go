package golden

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"violetturn/internal/peer"
)

// formPackages are the packages whose exported types with JSON names are records or messages.
var formPackages = []string{"api", "cloud", "job", "shard", "store", "zonehealth"}

// typeName is the name of a type as package.Type.
type typeName string

// fieldUse tells for each struct type that occurs in golden values, and each of its fields,
// whether the field is set in one of them.
type fieldUse map[typeName]map[string]bool

// add takes in a value and all that it holds.
func (u fieldUse) add(v reflect.Value) {
	switch v.Kind() { //nolint:exhaustive // values of the other kinds hold no further values
	case reflect.Pointer:
		if !v.IsNil() {
			u.add(v.Elem())
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			u.add(v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			u.add(v.MapIndex(key))
		}
	case reflect.Struct:
		u.addStruct(v)
	}
}

func (u fieldUse) addStruct(v reflect.Value) {
	name := typeName(path.Base(v.Type().PkgPath()) + "." + v.Type().Name())
	if u[name] == nil {
		u[name] = map[string]bool{}
	}
	for i := range v.NumField() {
		field := v.Type().Field(i).Name
		u[name][field] = u[name][field] || !v.Field(i).IsZero()
		u.add(v.Field(i))
	}
}

// goldenFieldUse returns the use of fields in all golden values but the protobuf messages.
func goldenFieldUse() fieldUse {
	use := fieldUse{}
	for _, g := range append(records(), variants()...) {
		if _, isMessage := g.value.(proto.Message); !isMessage {
			use.add(reflect.ValueOf(g.value))
		}
	}
	return use
}

// Every field of every record and message is set in a golden value, so that its name is fixed.
func TestEveryFieldIsFixed(t *testing.T) {
	for name, fields := range goldenFieldUse() {
		for field, set := range fields {
			if !set {
				t.Errorf("no golden value sets %s.%s", name, field)
			}
		}
	}
}

// Every exported type of the packages of records and messages that has JSON names occurs in a
// golden value.
func TestEveryTypeIsFixed(t *testing.T) {
	use := goldenFieldUse()
	for _, dir := range formPackages {
		names := recordedTypes(t, dir)
		if len(names) == 0 {
			t.Errorf("package %s has no recorded types", dir)
		}
		for _, name := range names {
			if use[name] == nil {
				t.Errorf("no golden value has a %s", name)
			}
		}
	}
}

// recordedTypes returns the exported struct types of a package that have JSON names.
func recordedTypes(t *testing.T, dir string) []typeName {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var names []typeName
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(tree, func(n ast.Node) bool {
			if spec, isType := n.(*ast.TypeSpec); isType && spec.Name.IsExported() && hasJSONNames(spec) {
				names = append(names, typeName(dir+"."+spec.Name.Name))
			}
			return true
		})
	}
	return names
}

// hasJSONNames reports whether a type is a struct with JSON names.
func hasJSONNames(spec *ast.TypeSpec) bool {
	structure, isStruct := spec.Type.(*ast.StructType)
	if !isStruct {
		return false
	}
	for _, field := range structure.Fields.List {
		if field.Tag != nil && strings.Contains(field.Tag.Value, `json:"`) {
			return true
		}
	}
	return false
}

// Every protobuf message has a golden value that sets each of its fields.
func TestEveryMessageIsFixed(t *testing.T) {
	set := map[protoreflect.FullName]bool{}
	var add func(m protoreflect.Message)
	add = func(m protoreflect.Message) {
		m.Range(func(field protoreflect.FieldDescriptor, v protoreflect.Value) bool {
			set[field.FullName()] = true
			switch {
			case field.IsList() && field.Message() != nil:
				for i := range v.List().Len() {
					add(v.List().Get(i).Message())
				}
			case field.Message() != nil:
				add(v.Message())
			}
			return true
		})
	}
	for _, g := range append(records(), variants()...) {
		if m, isMessage := g.value.(proto.Message); isMessage {
			add(m.ProtoReflect())
		}
	}
	messages := (&peer.Request{}).ProtoReflect().Descriptor().ParentFile().Messages()
	for i := range messages.Len() {
		fields := messages.Get(i).Fields()
		for j := range fields.Len() {
			if name := fields.Get(j).FullName(); !set[name] {
				t.Errorf("no golden value sets %s", name)
			}
		}
	}
}
