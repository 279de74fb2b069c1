package cli

import (
	"fmt"

	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/fault"
)

const bashCompletion = `_rockdoor() {
  local cur words
  cur="${COMP_WORDS[COMP_CWORD]}"
  words=$("${COMP_WORDS[@]:0:COMP_CWORD}" --generate-bash-completion 2>/dev/null)
  COMPREPLY=($(compgen -W "${words}" -- "${cur}"))
}
complete -o bashdefault -o default -F _rockdoor rockdoor
`

const zshCompletion = `#compdef rockdoor
_rockdoor() {
  local -a words
  words=("${(@f)$(${words[1,CURRENT-1]} --generate-bash-completion 2>/dev/null)}")
  _describe rockdoor words
}
compdef _rockdoor rockdoor
`

func completionCommand() *cli.Command {
	return &cli.Command{
		Name: "completion", Usage: "print a script for shell completion", ArgsUsage: "bash|zsh",
		Description: withExample("Prints a script that completes commands and flags.", "source <(rockdoor completion bash)"),
		Action: func(c *cli.Context) error {
			switch c.Args().First() {
			case "bash":
				fmt.Fprint(c.App.Writer, bashCompletion)
			case "zsh":
				fmt.Fprint(c.App.Writer, zshCompletion)
			default:
				return fault.Newf(fault.Invalid, "use bash or zsh", "shell %q is not supported", c.Args().First())
			}
			return nil
		},
	}
}
