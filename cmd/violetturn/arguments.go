package main

import (
	"github.com/alecthomas/kong"
)

// version is the program version that --version prints.
const version = "0.1.0"

// commandCheck is the name of the command that only checks the files.
const commandCheck = "check"

// arguments defines the command line. The help texts of its flags are in helpTexts.
type arguments struct {
	Config   string           `help:"${config_help}" required:"" type:"path" placeholder:"FILE"`
	Policy   string           `help:"${policy_help}" type:"path" placeholder:"FILE"`
	Features string           `help:"${features_help}" type:"path" placeholder:"FILE"`
	Profile  string           `help:"${profile_help}" type:"path" placeholder:"DIR"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
	Serve    struct{}         `cmd:"" default:"1" help:"Run a controller (the default)."`
	Check    struct{}         `cmd:"" help:"Check the settings, and the policy and features if given, and exit."`
}

const description = "A cluster scheduler run as several controllers that share a state service. " +
	"Logs to standard error; the environment variable LOG_LEVEL is error, info (the default) or debug."

// helpTexts returns the help texts of the flags, keyed by the variables that arguments refers to.
func helpTexts() kong.Vars {
	return kong.Vars{
		"config_help":   "Settings file (TOML) of the platform.",
		"policy_help":   "Policy file (TOML) with expressions that override the built-in ones.",
		"features_help": "Features file (TOML) that enables new behaviour. Without it, all features are off.",
		"profile_help":  "Folder for profiles of the CPU, memory and the state lock, written when the process is stopped.",
	}
}

// parseArguments parses the command line and returns the arguments and the name of the command. For
// --help and --version it prints the text and exits the process.
func parseArguments(line []string) (*arguments, string, error) {
	args := &arguments{}
	parser := kong.Must(
		args,
		kong.Name("violetturn"),
		kong.Description(description),
		kong.Vars{"version": version},
		helpTexts(),
	)
	context, err := parser.Parse(line)
	if err != nil {
		return nil, "", err
	}
	return args, context.Command(), nil
}
