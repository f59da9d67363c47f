package test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

// Logs leave the host and may be read by people who are not entitled to see the
// prompts. Requests that are served, refused as duplicates or refused for their
// key are logged, but no log may contain a prompt, a body or a key.
func TestLogsContainNoPromptsOrKeys(t *testing.T) {
	t.Parallel()
	const marker = "acoustic-log-of-valve-17"
	s := procs.StartDemo(t, nil)
	c := s.Caller(procs.DemoOrganisation)
	openStream(t, c, []string{s.Routers[0].Address}, marker, 5).mustComplete(t, 5)
	for range 2 {
		if _, err := c.Service(testContext(t), s.Routers[0].Address, ledgerCall(marker+"-key")); err != nil {
			t.Fatal(err)
		}
	}
	unauthorized := caller.New(marker+"-bearer", procs.DemoOrganisation, []string{s.Routers[0].Address})
	reply, err := unauthorized.Service(testContext(t), s.Routers[0].Address, repeatableCall())
	if err != nil || reply.Status != http.StatusUnauthorized {
		t.Fatalf("a call with an unknown bearer key got %+v, %v", reply, err)
	}
	lines := 0
	for _, d := range s.All() {
		log := d.Log()
		lines += bytes.Count(log, []byte{'\n'})
		for _, secret := range []string{marker, procs.OrganisationKey(procs.DemoOrganisation)} {
			if i := strings.Index(string(log), secret); i >= 0 {
				t.Errorf("%s logs %q: %.200s", d.ID, secret, log[max(0, i-100):])
			}
		}
	}
	if decisions := len(s.Routers[0].Decisions()); decisions < 5 || lines < decisions {
		t.Fatalf("%d decisions in %d log lines: the logs are incomplete", decisions, lines)
	}
}
