package loadreport

import "testing"

func TestParse(t *testing.T) {
	r := Parse("inflight=7, queue=2,util=0.61,odd=1,latency_ms=x,eps=-1,qps=NaN")
	if r == nil || r.InFlight != 7 || !r.HasInFlight || r.Queue != 2 || !r.HasQueue || r.Utilisation != 0.61 || r.Rate != 0 {
		t.Errorf("got %+v", r)
	}
	// The naming scheme of the settings.
	if r := Parse("active=14.201,waiting=10.004"); r == nil || r.InFlight != 14.201 || r.Queue != 10.004 {
		t.Errorf("names of the settings: got %+v", r)
	}
	for _, text := range []string{"", "odd=1", "inflight", "inflight=Inf", ",,="} {
		if r := Parse(text); r != nil {
			t.Errorf("%q: got %+v", text, r)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("active=1,waiting=2")
	f.Add("inflight=1e400,queue=-1")
	f.Fuzz(func(t *testing.T, text string) {
		if r := Parse(text); r != nil && (r.InFlight < 0 || r.Queue < 0 || r.Utilisation < 0 || r.ServiceTime < 0) {
			t.Errorf("%q gave %+v", text, r)
		}
	})
}
