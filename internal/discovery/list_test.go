package discovery

import (
	"testing"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// Guards against an invalid answer, or a list older than the known one, that replaces the known list: it would restore
// endpoints that have been drained since.
func TestInvalidListsAreIgnored(t *testing.T) {
	t.Parallel()
	indented := "{\r\n  \"version\" : 9,\r\n\t\"full\" : true,\r\n  \"servers\" : [ ]\r\n}\r\n"
	for name, invalid := range map[string]string{
		"older version":           `{"version":6,"full":true,"servers":[]}`,
		"changes to an older one": `{"version":6,"full":false,"servers":[]}`,
		"no version":              `{"full":true,"servers":[]}`,
		"version is a string":     `{"version":"8","full":true,"servers":[]}`,
		"no endpoints":            `{"version":8,"full":true}`,
		"null for endpoints":      `{"version":8,"full":true,"servers":null}`,
		"empty":                   "",
		"truncated":               `{"version":8,"full":true,"servers":[{"id":"s-1"`,
		"HTML page":               "<html>busy</html>",
		"empty object":            "{}",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answerInvalid := answerText(invalid)
			agent := newScriptedAgent(t, answerVersion(7), answerInvalid, answerInvalid, answerText(indented))
			updates := follow(t, newTestClient(agent.address, fewSenders), noVersion)
			for _, want := range []int64{7, 9} {
				if update := st.Receive(t, updates); update.Version != want {
					t.Errorf("received the update %+v, want version %d", update, want)
				}
			}
		})
	}
}
