package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) { return memoryBytes(pid, "VmRSS:") }

// peakBytes returns the peak resident memory of a process since its start.
func peakBytes(pid int) (int64, error) { return memoryBytes(pid, "VmHWM:") }

func memoryBytes(pid int, field string) (int64, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		text, found := strings.CutPrefix(lines.Text(), field)
		if !found {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
		return kib * 1024, err
	}
	return 0, fmt.Errorf("no %s line in /proc/%d/status", field, pid)
}

func mib(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// processorTime returns the sum of the user and system time of a process.
func processorTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The process name in parentheses may contain spaces, so the fields are
	// split after it.
	_, rest, found := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if !found || len(fields) <= system {
		return 0, fmt.Errorf("/proc/%d/stat has an unexpected format", pid)
	}
	ticks := int64(0)
	for _, i := range []int{user, system} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// writtenBytes returns the number of bytes that a process has written to files
// and sockets.
func writtenBytes(pid int) (int64, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if text, found := strings.CutPrefix(lines.Text(), "wchar: "); found {
			return strconv.ParseInt(text, 10, 64)
		}
	}
	return 0, fmt.Errorf("no wchar line in /proc/%d/io", pid)
}
