package forwarder

import (
	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/answerer"
)

// record counts and logs an answered request.
func (f *Forwarder) record(req *activeRequest, res *result) {
	latency := f.clock().Sub(req.arrived)
	route, late := "", false
	if req.route != nil {
		route = req.route.Name
		late = res.code == answerer.CodeOK && latency > req.route.TargetLatency
	}
	f.core.Observe(Observation{Route: route, Code: res.code, Status: res.status, Latency: latency, Sends: req.sends, Late: late})
	fields := logrus.Fields{
		"ID": req.id, "Route": route, "Service": req.service, "ConfigVersion": req.version, "Server": req.server,
		"Sends": req.sends, "Status": res.status, "Code": int(res.code), "Ms": latency.Milliseconds(),
		"LeftMs": req.deadline.Sub(req.arrived).Milliseconds(), "Returned": req.isRetry,
	}
	if req.tenant != nil {
		fields["Tenant"] = req.tenant.Name
		if res.code == answerer.CodeOverQuota || res.code == answerer.CodeQuotaUnknown {
			fields["RatePerS"], fields["Burst"] = req.tenant.Rate, req.tenant.Burst
		}
	}
	if req.keyed {
		own := req.inputs.Owner
		fields["Key"], fields["Owner"], fields["Epoch"], fields["Allocation"], fields["Moving"] = req.key, own.Server, own.Epoch, own.Version, own.Moving
	}
	fields["Cold"], fields["Sharers"], fields["ViewAgeMs"] = req.inputs.Cold, req.inputs.Sharers, req.inputs.ViewAge.Milliseconds()
	if req.inputs.Work > 0 {
		fields["WorkMs"], fields["ExpectedMs"], fields["LoadAgeMs"] = int(req.inputs.Work+half), req.inputs.Expected.Milliseconds(), req.inputs.LoadAge.Milliseconds()
	}
	if res.code != answerer.CodeOK {
		fields["Running"], fields["Others"], fields["LoadAgeMs"] = req.inputs.Running, int(req.inputs.OtherLoad+half), req.inputs.LoadAge.Milliseconds()
		fields["Ahead"], fields["WaitMs"], fields["RetryAfterMs"] = req.inputs.Ahead, req.inputs.ExpectedWait.Milliseconds(), res.retryAfter.Milliseconds()
		fields["Booked"] = req.inputs.Booked
	}
	f.log.WithFields(fields).Info("answered")
}

// half is added to an estimate before its fraction is cut off, which rounds it to the nearest whole number.
const half = 0.5
