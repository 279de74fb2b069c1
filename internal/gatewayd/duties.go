package gatewayd

import (
	"context"

	"github.com/rockdoor/rockdoor/internal/prune"
	"github.com/rockdoor/rockdoor/internal/resumption"
	"github.com/rockdoor/rockdoor/internal/scaler"
	"github.com/rockdoor/rockdoor/internal/usage"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/platform"
)

// buildDuties builds the duties, which one process at a time performs for the whole deployment. It
// returns the function to call when a request of a workspace starts to run, nil if usage is not
// reported.
func (d *Daemon) buildDuties(self members.Member) (onRunStart func(workspace string)) {
	pruner := prune.New(prune.Options{
		Self: self, Authority: d.authority, Store: d.store, Stale: d.store.WithStaleReads(), Prefix: platform.MemberPrefix, View: d.discovery.View,
		HasContact: d.schedulerServer.HasContact, WithoutContact: d.schedulerClient.WithoutContact, ReviewInterval: prune.ReviewInterval, RemoveAfter: prune.RemoveAfter, Logger: d.logger,
	})
	versions := resumption.NewKeeper(resumption.KeeperOptions{StoreOptions: *d.streamStore(self), Authority: d.authority, View: d.discovery.View, StaleAfter: staleViews * d.settings.Bounds.PropagationLimit(), Logger: d.logger})
	d.duties = append(d.duties, d.roles.Run, pruner.Run, versions.Run, d.crashKeeper.Run)
	api := platform.NewDutyClient(d.client, d.settings.Duties.Address)
	if d.settings.Duties.Has(platform.DutyCapacity) {
		o := scaler.Options{Authority: d.authority, Orderer: api, View: d.discovery.View, Metrics: d.reg, Logger: d.logger}
		if d.workTable != nil {
			o.Demand = &scaler.DemandOptions{Self: self.Name, Writer: self.Incarnation, Reports: d.workTable.Reports, Store: d.store, Prefix: platform.DemandPrefix}
		}
		d.scaler = scaler.New(o)
		d.duties = append(d.duties, d.scaler.Run)
	}
	if !d.settings.Duties.Has(platform.DutyUsage) {
		return nil
	}
	ledger := usage.NewLedger(usage.Source{Process: self.Name, Incarnation: self.Incarnation}, d.settings.Duties.UsageWindow.Std(), d.clock.Now)
	d.usage = usage.NewSyncer(usage.SyncerOptions{Ledger: ledger, Transport: d.transport, Replicas: d.schedulerClient.OtherSchedulers, Logger: d.logger})
	r := usage.NewReporter(usage.ReporterOptions{
		Store: d.store, Prefix: platform.UsagePrefix, Writer: self.Incarnation, Authority: d.authority, Biller: api, Ledger: ledger,
		Collect: d.usage.Collect, Due: d.settings.Duties.UsageDue.Std(), Metrics: d.reg, Logger: d.logger,
	})
	d.duties = append(d.duties, r.Run)
	return ledger.CountRequest
}

// runDuties performs the duties until ctx ends. It then waits for the end of background before it
// returns, since the return of one component ends all components of the process.
func (d *Daemon) runDuties(ctx, background context.Context) error {
	d.authority.Run(ctx, d.duties...)
	<-background.Done()
	return nil
}
