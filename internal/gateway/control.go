package gateway

import (
	"fmt"
	"strings"
)

// answerQuestion answers a question on the control socket. The wording of the questions must not change, because commands of
// other versions send them to this gateway.
func (g *Gateway) answerQuestion(question string) (any, error) {
	switch question {
	case "vrrp status":
		return g.floating.status(), nil
	case "members":
		return g.members.status(false)
	case "members streams":
		return g.members.status(true)
	case "intents":
		return g.intentsStatus()
	}
	switch words := strings.Fields(question); {
	case len(words) > 0 && words[0] == "copies":
		return g.answerStateStore(words[1:])
	case len(words) > 0 && words[0] == "maintain":
		return g.answerMaintenance(words[1:])
	}
	return nil, fmt.Errorf("unknown question %.40q", question)
}
