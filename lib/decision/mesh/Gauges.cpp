#include "filbertvane/decision/mesh/Gauges.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

const char *stateLabel(const MeshState &State, const KnownHost &Host,
                       core::TimePoint Now) {
  if (Host.FromStoreOnly)
    return "not_heard_yet";
  if (State.Hosts.isSuspect(Host, Now))
    return "doubtful";
  if (Host.Report.Leaving)
    return "leaving";
  if (!Host.Report.Target)
    return "without_target";
  switch (Host.Report.Target->State) {
  case TargetState::Ready:
    return "ready";
  case TargetState::Draining:
    return "target_draining";
  case TargetState::Down:
    return "target_down";
  }
  return "ready";
}

} // namespace

void writeGauges(const MeshState &State, core::TimePoint Now,
                 observe::Metrics &Output) {
  const auto Set = [&Output](const char *Name, double Value) {
    Output.set(Name, {}, Value);
  };
  const TargetLoad Load = State.Slots.load();
  Set("filbertvane_calls", static_cast<double>(State.Calls.size()));
  Set("filbertvane_target_slots", Load.Slots);
  Set("filbertvane_target_running", Load.Running);
  Set("filbertvane_target_waiting", Load.Waiting);
  Set("filbertvane_target_answer_seconds",
      static_cast<double>(Load.MeanResponseTime.count()) / 1000);
  Set("filbertvane_target_fault_ratio",
      State.Target ? State.Target->FaultRatio : 0);
  Set("filbertvane_target_cold_limit", State.Slots.coldLimit().value_or(0));
  Set("filbertvane_evacuated_data_centres",
      static_cast<double>(
          std::ranges::count_if(State.Evacuations, [](const auto &Entry) {
            return Entry.second.Active;
          })));
  Set("filbertvane_target_limit", State.Slots.rateLimit().value_or(0));
  Set("filbertvane_refused_suspects",
      static_cast<double>(State.Suspects.refusedCount()));
  Set("filbertvane_ready", State.Ready ? 1 : 0);
  Set("filbertvane_store_reachable", State.StoreReachable ? 1 : 0);
  Set("filbertvane_follows_store", State.FollowsStore ? 1 : 0);
  Set("filbertvane_watches_store", State.WatchesStore ? 1 : 0);
  Set("filbertvane_position",
      static_cast<double>(State.Position.offset().value()));
  Set("filbertvane_store_era",
      static_cast<double>(State.Era.value_or(core::StoreEra()).value()));
  Set("filbertvane_records_lost", static_cast<double>(State.LostRecords));
  Set("filbertvane_records_lost_seconds",
      State.LostSince
          ? std::chrono::duration<double>(Now - *State.LostSince).count()
          : 0);
  Set("filbertvane_behind_seconds",
      State.BehindSince
          ? std::chrono::duration<double>(Now - *State.BehindSince).count()
          : 0);
  Set("filbertvane_outdated", State.Outdated ? 1 : 0);
  Set("filbertvane_outdated_refusals",
      static_cast<double>(State.OutdatedRefusals.total()));
  if (State.Routing)
    Set("filbertvane_config_version",
        static_cast<double>(State.Routing->routing().Version.value()));

  // States without hosts are written as well, to overwrite earlier values.
  std::map<std::string, std::size_t> Hosts = {
      {"ready", 0},       {"doubtful", 0},       {"not_heard_yet", 0},
      {"leaving", 0},     {"without_target", 0}, {"target_draining", 0},
      {"target_down", 0},
  };
  for (const auto &[Node, Host] : State.Hosts.hosts())
    ++Hosts[stateLabel(State, Host, Now)];
  for (const auto &[Name, Count] : Hosts)
    Output.set("filbertvane_hosts", {{"state", Name}},
               static_cast<double>(Count));
  if (State.Routing && State.Routing->requiresKeys()) {
    Set("filbertvane_key_refusals",
        static_cast<double>(State.KeyRefusals.total()));
    for (const auto &[Tenant, Count] : State.TenantRequests.named())
      Output.set("filbertvane_tenant_requests", {{"tenant", Tenant.value()}},
                 static_cast<double>(Count));
    if (State.Routing->hasQuotas()) {
      const quota::QuotaCounts &Counts = State.Quotas.counts();
      Set("filbertvane_quota_admitted", static_cast<double>(Counts.Admitted));
      Set("filbertvane_quota_refused", static_cast<double>(Counts.Refused));
      Set("filbertvane_quota_undecided", static_cast<double>(Counts.Undecided));
      Set("filbertvane_quota_tokens_expired",
          static_cast<double>(Counts.Expired));
      Set("filbertvane_quota_nodes", static_cast<double>(State.Quotas.nodes()));
      Set("filbertvane_quota_lent_groups",
          static_cast<double>(State.Quotas.lentGroups(Now)));
      Set("filbertvane_quota_lenders",
          static_cast<double>(State.Quotas.lenderCount()));
    }
    // The label of the other tenants is no name that a tenant can have.
    Output.set("filbertvane_tenant_requests", {{"tenant", ""}},
               static_cast<double>(State.TenantRequests.others()));
  }
  for (const auto &Entry : State.Services) {
    const std::string &Service = Entry.first.value();
    const SharedRetryBudget &Budget = Entry.second.Budget;
    const auto SetRetries = [&](const char *Result, std::uint64_t Count) {
      Output.set("filbertvane_retries",
                 {{"service", Service}, {"result", Result}},
                 static_cast<double>(Count));
    };
    SetRetries("taken", Budget.taken());
    SetRetries("denied", Budget.denied());
    SetRetries("repeated_call", Budget.repeatedCalls());
    Output.set("filbertvane_repeats_left", {{"service", Service}},
               Budget.remaining(nodesSharingBudget(State), Now));
  }
}

} // namespace filbertvane::decision::mesh
