package tools_test

import "strings"

// lintCase is the only source file of a package, with the finding that the linters have to report
// about it, or no finding if wantLinter is empty.
type lintCase struct {
	name                  string
	pkg                   string // folder in internal
	declarations          string
	wantLinter            string
	wantText              string // part of the finding's text
	withoutPackageComment bool
}

// source returns the content of the file.
func (p lintCase) source() string {
	if p.withoutPackageComment {
		return "package " + p.pkg + "\n"
	}
	return "// Package " + p.pkg + " is an input of the linter tests.\npackage " + p.pkg + "\n\n" + p.declarations
}

// path returns the path of the file in its module.
func (p lintCase) path() string { return "internal/" + p.pkg + "/a.go" }

// repeatLine returns n copies of a line.
func repeatLine(line string, n int) string { return strings.Repeat(line+"\n", n) }

// limitCases returns sources that violate the size limits, formatting or the rules for comments, and
// one that is exactly within the limits.
func limitCases() []lintCase {
	return []lintCase{
		{
			name: "function of 60 lines, 6 arguments, 4 results", pkg: "allowed",
			declarations: "// F stays within the limits.\nfunc F(a, b, c, d, e, f int) (g, h, i int, err error) {\n" +
				repeatLine("\ta++", 58) + "\treturn a + b, c + d, e + f, nil\n}\n",
		},
		{
			name: "function of 61 lines", pkg: "longfunction", wantLinter: "revive", wantText: "function-length",
			declarations: "// F is long.\nfunc F(n int) int {\n" + repeatLine("\tn++", 60) + "\treturn n\n}\n",
		},
		{
			name: "line of 141 characters", pkg: "longline", wantLinter: "revive", wantText: "line-length-limit",
			declarations: "// " + strings.Repeat("x", 138) + "\n",
		},
		{
			name: "file of 401 lines", pkg: "longfile", wantLinter: "revive", wantText: "file-length-limit",
			declarations: repeatLine("// x", 398),
		},
		{
			name: "cyclomatic complexity of 16", pkg: "cyclomatic", wantLinter: "revive", wantText: "cyclomatic",
			declarations: "// F branches.\nfunc F(n int) int {\n" + repeatLine("\tif n > 0 {\n\t\tn--\n\t}", 15) + "\treturn n\n}\n",
		},
		{
			name: "7 arguments", pkg: "arguments", wantLinter: "revive", wantText: "argument-limit",
			declarations: "// F has many arguments.\nfunc F(a, b, c, d, e, f, g int) int { return a + b + c + d + e + f + g }\n",
		},
		{
			name: "5 results", pkg: "results", wantLinter: "revive", wantText: "function-result-limit",
			declarations: "// F has many results.\nfunc F() (a, b, c, d, e int) { return 0, 0, 0, 0, 0 }\n",
		},
		{
			name: "exported function without a comment", pkg: "uncommented", wantLinter: "revive", wantText: "exported",
			declarations: "func F() {}\n",
		},
		{
			name: "package without a comment", pkg: "undocumented", wantLinter: "revive", wantText: "package-comments",
			withoutPackageComment: true,
		},
		{
			name: "unformatted source", pkg: "unformatted", wantLinter: "gofumpt", wantText: "formatted",
			declarations: "// F is not formatted.\nfunc F( ) {}\n",
		},
		{
			name: "misspelt word", pkg: "misspelt", wantLinter: "misspell", wantText: "cieves",
			declarations: "// F re" + "cieves.\nfunc F() {}\n",
		},
	}
}

// codeCases returns sources that violate the rules for errors, enumerations, unused and deprecated
// code, shadowed variables or nolint comments.
func codeCases() []lintCase {
	const ignoredError = "import \"os\"\n\n// F ignores an error.\nfunc F() { os.Remove(\"x\") }"
	return []lintCase{
		{
			name: "ignored error", pkg: "ignored", wantLinter: "errcheck", wantText: "os.Remove",
			declarations: ignoredError + "\n",
		},
		{
			name: "unchecked type assertion", pkg: "asserted", wantLinter: "errcheck", wantText: "not checked",
			declarations: "// F asserts a type.\nfunc F(x any) int { return x.(int) }\n",
		},
		{
			name: "error compared with ==", pkg: "compared", wantLinter: "errorlint", wantText: "errors.Is",
			declarations: "import \"io\"\n\n// F compares.\nfunc F(err error) bool { return err == io.EOF }\n",
		},
		{
			name: "error wrapped with %v", pkg: "wrapped", wantLinter: "errorlint", wantText: "%w",
			declarations: "import \"fmt\"\n\n// F wraps.\nfunc F(err error) error { return fmt.Errorf(\"f: %v\", err) }\n",
		},
		{
			name: "switch without all values of an enumeration", pkg: "switched", wantLinter: "exhaustive", wantText: "B",
			declarations: "// E is an enumeration.\ntype E int\n\n// Values of E.\nconst (\n\tA E = iota\n\tB\n)\n\n" +
				"// F leaves out B.\nfunc F(e E) int {\n\tswitch e {\n\tcase A:\n\t\treturn 1\n\t}\n\treturn 0\n}\n",
		},
		{
			name: "unused function", pkg: "uncalled", wantLinter: "unused", wantText: "f",
			declarations: "func f() {}\n",
		},
		{
			name: "nolint without a reason", pkg: "nolintreason", wantLinter: "nolintlint", wantText: "explanation",
			declarations: ignoredError + " //nolint:errcheck\n",
		},
		{
			name: "nolint of all linters", pkg: "nolintall", wantLinter: "nolintlint", wantText: "specific",
			declarations: ignoredError + " //nolint // for a test\n",
		},
		{
			name: "call of a deprecated function", pkg: "deprecated", wantLinter: "staticcheck", wantText: "SA1019",
			declarations: "import \"strings\"\n\n// F calls a deprecated function.\nfunc F(s string) string { return strings.Title(s) }\n",
		},
		{
			name: "shadowed variable", pkg: "shadowed", wantLinter: "govet", wantText: "shadow",
			declarations: "import \"os\"\n\n// F shadows.\nfunc F() error {\n\terr := os.Remove(\"x\")\n" +
				"\tif err == nil {\n\t\terr := os.Remove(\"y\")\n\t\treturn err\n\t}\n\treturn err\n}\n",
		},
	}
}

// layerCases returns sources whose imports violate the layers, and one that imports nothing.
func layerCases() []lintCase {
	return []lintCase{
		{
			name: "pure package imports the state service client", pkg: "sched", wantLinter: "depguard", wantText: "internal/store",
			declarations: "import _ \"violetturn/internal/store\"\n",
		},
		{
			name: "pure package imports net/http", pkg: "zonehealth", wantLinter: "depguard", wantText: "net/http",
			declarations: "import _ \"net/http\"\n",
		},
		{
			name: "state service client imports the controller", pkg: "store", wantLinter: "depguard", wantText: "internal/controller",
			declarations: "import _ \"violetturn/internal/controller\"\n",
		},
		{
			name: "controller imports the simulator", pkg: "controller", wantLinter: "depguard", wantText: "internal/simulator",
			declarations: "import _ \"violetturn/internal/simulator\"\n",
		},
		{
			name: "cache imports the scheduler", pkg: "statecache", wantLinter: "depguard", wantText: "internal/scheduler",
			declarations: "import _ \"violetturn/internal/scheduler\"\n",
		},
		{
			name: "scheduler imports os", pkg: "scheduler", wantLinter: "depguard", wantText: "no files",
			declarations: "import _ \"os\"\n",
		},
		{
			name: "simulator without imports", pkg: "simulator",
			declarations: "// X is a number.\nconst X = 1\n",
		},
	}
}
