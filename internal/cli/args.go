package cli

import (
	"slices"
	"strings"

	"github.com/urfave/cli/v2"
)

// completionFlag asks for completions. The library expects it to be the last argument.
const completionFlag = "--generate-bash-completion"

// flagsFirst moves the flags of a command before its other arguments, since the library takes all
// that follows the first argument for arguments.
func flagsFirst(app *cli.App, args []string) []string {
	if len(args) == 0 || args[len(args)-1] == completionFlag {
		return args
	}
	var flags []cli.Flag
	commands, at := app.Commands, 1
	for ; at < len(args); at++ {
		n := slices.IndexFunc(commands, func(c *cli.Command) bool { return c.HasName(args[at]) })
		if n < 0 {
			break
		}
		commands, flags = commands[n].Subcommands, commands[n].Flags
	}
	path, rest := args[:at], args[at:]
	var front, others []string
	for len(rest) > 0 {
		arg := rest[0]
		if arg == "--" {
			others = append(others, rest[1:]...)
			break
		}
		size := 1
		if !strings.HasPrefix(arg, "-") || arg == "-" {
			others = append(others, arg)
		} else {
			if takesValue(flags, arg) {
				size = min(2, len(rest))
			}
			front = append(front, rest[:size]...)
		}
		rest = rest[size:]
	}
	if len(others) > 0 {
		others = append([]string{"--"}, others...)
	}
	return slices.Concat(path, front, others)
}

// takesValue reports whether the value of a flag is the next argument.
func takesValue(flags []cli.Flag, arg string) bool {
	name := strings.TrimLeft(arg, "-")
	return slices.ContainsFunc(flags, func(f cli.Flag) bool {
		doc, ok := f.(cli.DocGenerationFlag)
		return ok && doc.TakesValue() && slices.Contains(f.Names(), name)
	})
}
