// Command rockdoor serves language models and services on a fixed fleet.
package main

import (
	"os"

	"github.com/rockdoor/rockdoor/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args)) }
