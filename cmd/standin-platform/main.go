// Command standin-platform plays the platform's table service, object store
// and list of VMs, for tests and demonstrations. It keeps everything in
// memory.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/standin"
)

type arguments struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"IP number and port; port 0 asks the kernel for one"`
	VMs    string `arg:"--vms" help:"JSON file with the list of VMs"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := serve(args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(1)
	}
}

func serve(args arguments) error {
	platform := standin.NewPlatform()
	if args.VMs != "" {
		text, err := os.ReadFile(args.VMs)
		if err != nil {
			return err
		}
		var vms []pool.Listing
		if err := json.Unmarshal(text, &vms); err != nil {
			return err
		}
		platform.SetVMs(vms)
	}
	return standin.Serve(args.Listen, platform.Handler(), os.Stdout)
}
