package main

import (
	"maps"
	"strings"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/settings"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/settingspage"
)

func TestSettingsPageIsComplete(t *testing.T) {
	missing, err := settingspage.Missing("../../docs/operations/settings.md", settingspage.Rows(defaults()))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range missing {
		t.Errorf("docs/operations/settings.md lacks: %s", line)
	}
}

// Guards against hosts that announce a wrong capacity because a value is missing, out of
// range, or below the unit of the announcement.
func TestCapacityIsChecked(t *testing.T) {
	complete := map[string]any{"processor": 0.144, "link_mbps": 10, "memory_mb": 112, "descriptors": 1024}
	decode := func(change map[string]any) (port.HostCapacity, error) {
		capacity := maps.Clone(complete)
		for name, value := range change {
			capacity[name] = value
			if value == nil {
				delete(capacity, name)
			}
		}
		s := defaults()
		err := settings.Decode(settingsJSON(t, func(m map[string]any) { m["capacity"] = capacity }), &s)
		return s.capacity(), err
	}
	for _, c := range []struct {
		name   string
		change map[string]any
		want   port.HostCapacity
	}{
		{"complete", nil, port.HostCapacity{ProcessorMilli: 144, LinkKbps: 10_000}},
		{"share of several cores", map[string]any{"processor": 0.2, "cores": 4}, port.HostCapacity{ProcessorMilli: 800, LinkKbps: 10_000}},
		{"below the unit", map[string]any{"processor": 1e-9, "link_mbps": 1e-9}, port.HostCapacity{ProcessorMilli: 1, LinkKbps: 1}},
		{"largest", map[string]any{"processor": 1024, "cores": 1024, "link_mbps": 1e6}, port.HostCapacity{ProcessorMilli: 1_024_000, LinkKbps: 1_000_000_000}},
	} {
		if got, err := decode(c.change); err != nil || got != c.want {
			t.Errorf("%s: got %+v, %v", c.name, got, err)
		}
	}
	for name, wrong := range map[string][]any{
		"processor": {nil, 0, -1, 1025, "1"}, "cores": {-1, 1025}, "link_mbps": {nil, 0, 1_000_001},
		"memory_mb": {nil, 0, 0.5}, "descriptors": {nil, 0, -1}, "threads": {1},
	} {
		for _, value := range wrong {
			if _, err := decode(map[string]any{name: value}); err == nil || !strings.Contains(err.Error(), name) {
				t.Errorf("%s = %v: error %v", name, value, err)
			}
		}
	}
	absent := decodeSettings(t, settingsJSON(t, func(map[string]any) {}))
	if got := absent.capacity(); got != (port.HostCapacity{}) {
		t.Errorf("without a capacity: %+v", got)
	}
}
