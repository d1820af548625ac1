package wire

import (
	"encoding/base64"
	"encoding/json"
	"strconv"

	"ivylock/balance"
)

// NodeActions holds the actions of one instance.
type NodeActions struct {
	Node    int
	Actions []balance.Action
}

// AppendReply appends the line that answers a batch, including its newline.
func AppendReply(b []byte, replies []NodeActions) []byte {
	b = append(b, `{"groups":[`...)
	first := true
	for _, r := range replies {
		if len(r.Actions) == 0 {
			continue
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		b = append(b, `{"node_id":`...)
		b = strconv.AppendInt(b, int64(r.Node), 10)
		b = append(b, `,"actions":[`...)
		for i, a := range r.Actions {
			if i > 0 {
				b = append(b, ',')
			}
			b = appendAction(b, a)
		}
		b = append(b, "]}"...)
	}
	return append(b, "]}\n"...)
}

func appendAction(b []byte, a balance.Action) []byte {
	switch a := a.(type) {
	case balance.Send:
		b = appendText(b, `{"assign":{"req":`, string(a.ID))
		b = appendInt(b, `,"backend":`, int64(a.Server))
		if a.Timeout != 0 {
			b = appendInt(b, `,"try_for_ns":`, int64(a.Timeout))
		}
	case balance.Refuse:
		b = appendText(b, `{"deny":{"req":`, string(a.ID))
		if a.RetryAfter > 0 {
			b = appendInt(b, `,"hold_off_ns":`, int64(a.RetryAfter))
		}
	case balance.Fail:
		b = appendText(b, `{"fail":{"req":`, string(a.ID))
	case balance.CancelAttempt:
		b = appendText(b, `{"stop_attempt":{"req":`, string(a.ID))
		b = appendInt(b, `,"leg":`, int64(a.Attempt))
	case balance.SetTimer:
		b = appendInt(b, `{"arm":{"from_now_ns":`, int64(a.After))
		b = appendInt(b, `,"label":`, a.Token)
	case balance.Probe:
		b = appendInt(b, `{"probe":{"backend":`, int64(a.Server))
	case balance.SendMessage:
		if a.ToAll {
			b = append(b, `{"tell":{"dest":"*"`...)
		} else {
			b = appendInt(b, `{"tell":{"dest":`, int64(a.To))
		}
		b = appendText(b, `,"bytes":`, base64.StdEncoding.EncodeToString(a.Data))
	case balance.Subscribe:
		b = append(b, `{"subscribe":{"want":`...)
		b = strconv.AppendBool(b, a.On)
	case balance.FetchList:
		b = append(b, `{"reload":{`...)
	case balance.CloseIdleConns:
		b = appendInt(b, `{"disconnect":{"backend":`, int64(a.Server))
	case balance.SetConnIdleTimeout: // the wire format has no such action
		b = appendText(b, `{"trace":{"message":`, "idle connections are kept for "+a.Timeout.String())
	case balance.Log:
		b = appendText(b, `{"trace":{"message":`, a.Line)
	}
	return append(b, "}}"...)
}

func appendInt(b []byte, prefix string, v int64) []byte {
	return strconv.AppendInt(append(b, prefix...), v, 10)
}

func appendText(b []byte, prefix, text string) []byte {
	quoted, _ := json.Marshal(text) // marshalling a string cannot fail
	return append(append(b, prefix...), quoted...)
}
