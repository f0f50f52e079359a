package tools_test

import "strings"

// plant is the only source of a package; the linters have to refuse it, or to pass it if no
// linter is named.
type plant struct {
	name         string
	pkg          string // below internal
	declarations string
	linter       string
	text         string // of the finding
	bare         bool   // without a package comment
}

// source returns the plant's file.
func (p plant) source() string {
	if p.bare {
		return "package " + p.pkg + "\n"
	}
	return "// Package " + p.pkg + " is planted.\npackage " + p.pkg + "\n\n" + p.declarations
}

// path returns where the file lies in its module.
func (p plant) path() string { return "internal/" + p.pkg + "/a.go" }

// repeat returns a line n times.
func repeat(line string, n int) string { return strings.Repeat(line+"\n", n) }

// limitPlants offend the limits of size and the rules for comments.
func limitPlants() []plant {
	return []plant{
		{
			name: "a function of 60 lines, 6 arguments, 4 results", pkg: "allowed",
			declarations: "// F stays within the limits.\nfunc F(a, b, c, d, e, f int) (g, h, i int, err error) {\n" +
				repeat("\ta++", 58) + "\treturn a + b, c + d, e + f, nil\n}\n",
		},
		{
			name: "a function of 61 lines", pkg: "longfunction", linter: "revive", text: "function-length",
			declarations: "// F is long.\nfunc F(n int) int {\n" + repeat("\tn++", 60) + "\treturn n\n}\n",
		},
		{
			name: "a line of 141 characters", pkg: "longline", linter: "revive", text: "line-length-limit",
			declarations: "// " + strings.Repeat("x", 138) + "\n",
		},
		{
			name: "a file of 401 lines", pkg: "longfile", linter: "revive", text: "file-length-limit",
			declarations: repeat("// x", 398),
		},
		{
			name: "16 ways through a function", pkg: "ways", linter: "revive", text: "cyclomatic",
			declarations: "// F has many ways.\nfunc F(n int) int {\n" + repeat("\tif n > 0 {\n\t\tn--\n\t}", 15) + "\treturn n\n}\n",
		},
		{
			name: "7 arguments", pkg: "arguments", linter: "revive", text: "argument-limit",
			declarations: "// F has many arguments.\nfunc F(a, b, c, d, e, f, g int) int { return a + b + c + d + e + f + g }\n",
		},
		{
			name: "5 results", pkg: "results", linter: "revive", text: "function-result-limit",
			declarations: "// F has many results.\nfunc F() (a, b, c, d, e int) { return 0, 0, 0, 0, 0 }\n",
		},
		{
			name: "an exported function without a comment", pkg: "uncommented", linter: "revive", text: "exported",
			declarations: "func F() {}\n",
		},
		{
			name: "a package without a comment", pkg: "undocumented", linter: "revive", text: "package-comments", bare: true,
		},
		{
			name: "an unformatted source", pkg: "unformatted", linter: "gofumpt", text: "formatted",
			declarations: "// F is crooked.\nfunc F( ) {}\n",
		},
		{
			name: "a misspelt word", pkg: "misspelt", linter: "misspell", text: "cieves",
			declarations: "// F re" + "cieves.\nfunc F() {}\n",
		},
	}
}

// codePlants offend the rules for errors, enumerations, dead code and comments that excuse.
func codePlants() []plant {
	const ignoredError = "import \"os\"\n\n// F ignores an error.\nfunc F() { os.Remove(\"x\") }"
	return []plant{
		{
			name: "an ignored error", pkg: "ignored", linter: "errcheck", text: "os.Remove",
			declarations: ignoredError + "\n",
		},
		{
			name: "an unchecked type assertion", pkg: "asserted", linter: "errcheck", text: "not checked",
			declarations: "// F asserts a type.\nfunc F(x any) int { return x.(int) }\n",
		},
		{
			name: "an error compared by ==", pkg: "compared", linter: "errorlint", text: "errors.Is",
			declarations: "import \"io\"\n\n// F compares.\nfunc F(err error) bool { return err == io.EOF }\n",
		},
		{
			name: "an error wrapped by %v", pkg: "wrapped", linter: "errorlint", text: "%w",
			declarations: "import \"fmt\"\n\n// F wraps.\nfunc F(err error) error { return fmt.Errorf(\"f: %v\", err) }\n",
		},
		{
			name: "a switch that leaves out a value", pkg: "switched", linter: "exhaustive", text: "B",
			declarations: "// E is an enumeration.\ntype E int\n\n// Values of E.\nconst (\n\tA E = iota\n\tB\n)\n\n" +
				"// F leaves out B.\nfunc F(e E) int {\n\tswitch e {\n\tcase A:\n\t\treturn 1\n\t}\n\treturn 0\n}\n",
		},
		{
			name: "a function that nobody calls", pkg: "uncalled", linter: "unused", text: "f",
			declarations: "func f() {}\n",
		},
		{
			name: "a nolint without a reason", pkg: "excused", linter: "nolintlint", text: "explanation",
			declarations: ignoredError + " //nolint:errcheck\n",
		},
		{
			name: "a nolint of all linters", pkg: "excusedall", linter: "nolintlint", text: "specific",
			declarations: ignoredError + " //nolint // for a test\n",
		},
		{
			name: "a deprecated function", pkg: "deprecated", linter: "staticcheck", text: "SA1019",
			declarations: "import \"strings\"\n\n// F is old.\nfunc F(s string) string { return strings.Title(s) }\n",
		},
		{
			name: "a variable that shadows another", pkg: "shadowed", linter: "govet", text: "shadow",
			declarations: "import \"os\"\n\n// F shadows.\nfunc F() error {\n\terr := os.Remove(\"x\")\n" +
				"\tif err == nil {\n\t\terr := os.Remove(\"y\")\n\t\treturn err\n\t}\n\treturn err\n}\n",
		},
	}
}

// layerPlants offend the direction of the layers.
func layerPlants() []plant {
	return []plant{
		{
			name: "a pure package that knows the store", pkg: "sched", linter: "depguard", text: "internal/store",
			declarations: "import _ \"violetturn/internal/store\"\n",
		},
		{
			name: "a pure package that knows the network", pkg: "zonehealth", linter: "depguard", text: "net/http",
			declarations: "import _ \"net/http\"\n",
		},
		{
			name: "an edge that knows the controller", pkg: "store", linter: "depguard", text: "internal/controller",
			declarations: "import _ \"violetturn/internal/controller\"\n",
		},
		{
			name: "a controller that knows the simulator", pkg: "controller", linter: "depguard", text: "internal/simulator",
			declarations: "import _ \"violetturn/internal/simulator\"\n",
		},
		{
			name: "a cache that knows the scheduler", pkg: "statecache", linter: "depguard", text: "internal/scheduler",
			declarations: "import _ \"violetturn/internal/scheduler\"\n",
		},
		{
			name: "a scheduler that reads files", pkg: "scheduler", linter: "depguard", text: "no files",
			declarations: "import _ \"os\"\n",
		},
		{
			name: "the simulator alone", pkg: "simulator",
			declarations: "// X is a number.\nconst X = 1\n",
		},
	}
}
