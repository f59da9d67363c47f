// Package hostweight chooses the hosts that callers are led to, by the free capacity
// of the hosts, and decides when a host's load is announced.
package hostweight

import (
	"slices"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Host is a host that accepts new callers.
type Host struct {
	ID string
	// Near is set if the host comes first in the caller's answer.
	Near     bool
	Capacity port.HostCapacity
	// LoadPercent is the share of the capacity in use, in steps of LoadStep.
	LoadPercent uint32
}

const (
	// minShare and maxShare bound the share of each host, as multiples of the mean. No
	// healthy host is without callers, and none gets most of them.
	minShare = 1.0 / 3
	maxShare = 4.0
	// bisections find the lower bound of the shares to less than a millionth.
	bisections = 20
)

// sizes returns the capacity of each host relative to the median host. Of processor and
// link, the scarcer one counts. Hosts without a capacity count as the median.
func sizes(hosts []Host) []float64 {
	processor := medianOf(hosts, func(c port.HostCapacity) uint32 { return c.ProcessorMilli })
	link := medianOf(hosts, func(c port.HostCapacity) uint32 { return c.LinkKbps })
	out := make([]float64, len(hosts))
	for i := range hosts {
		c := hosts[i].Capacity
		byProcessor, byLink := float64(c.ProcessorMilli)/processor, float64(c.LinkKbps)/link
		switch {
		case c.ProcessorMilli == 0:
			out[i] = byLink
		case c.LinkKbps == 0:
			out[i] = byProcessor
		default:
			out[i] = min(byProcessor, byLink)
		}
	}
	return replaceZeros(out)
}

// medianOf returns the median of one figure of the hosts that state it, at least 1.
func medianOf(hosts []Host, figure func(port.HostCapacity) uint32) float64 {
	var stated []float64
	for i := range hosts {
		if v := figure(hosts[i].Capacity); v > 0 {
			stated = append(stated, float64(v))
		}
	}
	return max(1, lowerMedian(stated))
}

// lowerMedian sorts the values. It returns one of them, so that a host that counts as
// the median is exactly equal to another host, and zero if there are none.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// replaceZeros replaces zeros by the median of the other values, or by 1.
func replaceZeros(values []float64) []float64 {
	others := slices.DeleteFunc(slices.Clone(values), func(v float64) bool { return v == 0 })
	median := lowerMedian(others)
	if median == 0 {
		median = 1
	}
	for i := range values {
		if values[i] == 0 {
			values[i] = median
		}
	}
	return values
}

// freeSizes returns the free capacity of each host, given its size. A host at full load
// counts with one step of six, as loads are known to a step only.
func freeSizes(hosts []Host, sizes []float64) []float64 {
	known := make([]float64, len(hosts))
	for i := range hosts {
		if hosts[i].Capacity != (port.HostCapacity{}) {
			known[i] = sizes[i] * float64(fullLoad+LoadStep-min(fullLoad, hosts[i].LoadPercent)) / (fullLoad + LoadStep)
		}
	}
	return replaceZeros(known)
}

// shares returns the probability with which each host appears in an answer, given its
// weight, which is above zero. The host with the largest weight always appears. The
// others appear in proportion to their weights, but with at least minShare of the mean;
// if the largest would exceed maxShare of the mean, the least probability is raised.
func shares(weights []float64) []float64 {
	if len(weights) == 0 {
		return nil
	}
	largest := slices.Max(weights)
	out := make([]float64, len(weights))
	meanWith := func(floor float64) float64 {
		sum := 0.0
		for i, w := range weights {
			out[i] = max(floor, w/largest)
			sum += out[i]
		}
		return sum / float64(len(weights))
	}
	// Both bounds hold from some floor on, at the latest from 1.
	low, high := 0.0, 1.0
	for range bisections {
		floor := (low + high) / 2
		if mean := meanWith(floor); floor < minShare*mean || mean*maxShare < 1 {
			low = floor
		} else {
			high = floor
		}
	}
	meanWith(high)
	return out
}

// areEqual reports whether all hosts of a group have the same size.
func areEqual(sizes []float64) bool {
	return len(sizes) == 0 || slices.Min(sizes) == slices.Max(sizes)
}
