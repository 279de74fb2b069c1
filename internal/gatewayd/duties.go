package gatewayd

import (
	"context"

	"github.com/rockdoor/rockdoor/internal/prune"
	"github.com/rockdoor/rockdoor/internal/scaler"
	"github.com/rockdoor/rockdoor/internal/usage"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/platform"
)

// buildDuties builds what one process at a time does for the deployment, and returns what is
// told of each request that begins to run.
func (d *Daemon) buildDuties(self members.Member) (began func(workspace string)) {
	pruner := prune.New(prune.Options{
		Self: self, Authority: d.authority, Store: d.store, Stale: d.store.WithStaleReads(), Prefix: platform.MemberPrefix, View: d.discovery.View,
		Hears: d.scheduler.HasContact, Unheard: d.asker.WithoutContact, Every: prune.Every, After: prune.After, Logger: d.logger,
	})
	d.duties = append(d.duties, d.roles.Run, pruner.Run)
	api := platform.NewDutyClient(d.client, d.set.Duties.Address)
	if d.set.Duties.Has(platform.DutyCapacity) {
		s := scaler.New(scaler.Options{Authority: d.authority, Orderer: api, View: d.discovery.View, Metrics: d.reg, Logger: d.logger})
		d.duties = append(d.duties, s.Run)
	}
	if !d.set.Duties.Has(platform.DutyUsage) {
		return nil
	}
	ledger := usage.NewLedger(usage.Source{Process: self.Name, Incarnation: self.Incarnation}, d.set.Duties.UsageWindow.Std(), d.clock.Now)
	d.usage = usage.NewSharer(usage.SharerOptions{Ledger: ledger, Transport: d.transport, Keepers: d.asker.OtherSchedulers, Logger: d.logger})
	r := usage.NewReporter(usage.ReporterOptions{
		Store: d.store, Prefix: platform.UsagePrefix, Writer: self.Incarnation, Authority: d.authority, Biller: api, Ledger: ledger,
		Collect: d.usage.Collect, Due: d.set.Duties.UsageDue.Std(), Metrics: d.reg, Logger: d.logger,
	})
	d.duties = append(d.duties, r.Run)
	return ledger.Began
}

// doDuties does duties until the process is asked to stop. It returns when the process may
// exit, since the end of one part ends all.
func (d *Daemon) doDuties(ctx, background context.Context) error {
	d.authority.Run(ctx, d.duties...)
	<-background.Done()
	return nil
}
