package discovery

import "testing"

func TestParseListSkipsMalformedEntries(t *testing.T) {
	l, err := ParseList([]byte(`{"generation":3,"reset":false,"instances":[7,{"instanceId":"a"},
		{"instanceId":"b","hostPort":"127.0.0.1:1","lifecycle":"odd"},{"hostPort":"127.0.0.1:1","lifecycle":"up"},
		{"instanceId":"c","hostPort":5,"lifecycle":"up"},{"instanceId":"d","lifecycle":"removed"},
		{"instanceId":"e","hostPort":"127.0.0.1:1","lifecycle":"up"}]}`))
	if err != nil || len(l.Instances) != 2 || l.Instances[0].InstanceID != "d" || l.Instances[1].InstanceID != "e" {
		t.Errorf("got %+v, %v", l, err)
	}
	for _, bad := range []string{"", "[]", "{}", `{"generation":1}`, `{"instances":[]}`, `{"generation":-1,"instances":[]}`} {
		if _, err := ParseList([]byte(bad)); err == nil {
			t.Errorf("%s: accepted", bad)
		}
	}
}
