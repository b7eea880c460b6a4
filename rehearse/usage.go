package rehearse

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// measureUsage returns the resource usage of the nodes as the kernel reports it. It omits nodes
// that are not running.
func measureUsage(nodes []*relayNode) []NodeUsage {
	var list []NodeUsage
	for _, n := range nodes {
		pid, running := n.PID()
		if !running {
			continue
		}
		list = append(list, NodeUsage{Name: n.name, PeakMB: peakMB(pid), ProcessorSeconds: processorSeconds(pid)})
	}
	return list
}

// peakMB returns the peak resident memory of a process; zero if the kernel does not report it.
func peakMB(pid int) float64 {
	const kbPerMB = 1024
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			if err == nil {
				return kb / kbPerMB
			}
		}
	}
	return 0
}

// userTicks and systemTicks are indexes of the fields of /proc/PID/stat after the program name,
// and ticksPerSecond is the unit of their values.
const (
	userTicks      = 11
	systemTicks    = 12
	ticksPerSecond = 100
)

// processorSeconds returns the processor time that a process has used; zero if the kernel does
// not report it.
func processorSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	words := strings.Fields(rest)
	if len(words) <= systemTicks {
		return 0
	}
	user, userErr := strconv.ParseFloat(words[userTicks], 64)
	system, systemErr := strconv.ParseFloat(words[systemTicks], 64)
	if userErr != nil || systemErr != nil {
		return 0
	}
	return (user + system) / ticksPerSecond
}
