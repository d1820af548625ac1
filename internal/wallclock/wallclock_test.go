package wallclock

import (
	"slices"
	"testing"
	"time"
)

func TestParseAndFormatSteps(t *testing.T) {
	want := []Step{{0, time.Hour}, {2500 * time.Millisecond, -30 * time.Second}}
	got, err := ParseSteps("0s:+1h,2.5s:-30s")
	if err != nil || !slices.Equal(got, want) {
		t.Fatalf("ParseSteps returned %v, %v", got, err)
	}
	if again, err := ParseSteps(FormatSteps(want)); err != nil || !slices.Equal(again, want) {
		t.Errorf("%q parsed as %v, %v", FormatSteps(want), again, err)
	}
	if none, err := ParseSteps(""); none != nil || err != nil {
		t.Errorf("ParseSteps of an empty text returned %v, %v", none, err)
	}
	for _, bad := range []string{"x", "1s", "1s:", ":1s", "-1s:1s", "1:1s", "1s:5", "2s:1s,1s:1s", ","} {
		if _, err := ParseSteps(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
	for since, offset := range map[time.Duration]time.Duration{0: time.Hour, 2 * time.Second: time.Hour, 3 * time.Second: time.Hour - 30*time.Second} {
		if got := offsetAfter(want, since); got != offset {
			t.Errorf("after %v: %v, want %v", since, got, offset)
		}
	}
}

func TestNowIsUnixTime(t *testing.T) {
	if difference := Now() - time.Duration(time.Now().UnixNano()); difference.Abs() > time.Second {
		t.Errorf("Now differs from Unix time by %v", difference)
	}
}
