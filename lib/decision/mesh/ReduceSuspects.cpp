#include "Reduction.h"
#include "filbertvane/core/Digest.h"
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

using core::ErrorCode;

/// Every request that ran at the crash is a suspect. The crashes of one target
/// process count once.
void Reduction::recordCrash(MeshCall &Call) {
  ++Call.Crashes;
  const core::Digest Crash = core::digestOf(
      fmt::format("{}/{}/{}", State.Settings.Node.value(),
                  State.Settings.Incarnation.value(), Call.TargetGeneration));
  const bool Refused =
      State.Suspects.recordCrash({Call.RequestDigest, Call.Caller}, Crash, Now);
  State.HasSuspectsToReport = true;
  log(observe::EventId::MeshTargetCrashed,
      fmt::format("{} digest={:016x} refused={}", describe(Call),
                  Call.RequestDigest.value(), Refused));
  if (Refused)
    refuseQueuedSuspects();
}

void Reduction::recordSuspects(const HostReport &Report) {
  bool AnyRefused = false;
  for (const SuspectRequest &Suspect : Report.Suspects) {
    if (!State.Suspects.recordReport(Suspect, Now))
      continue;
    AnyRefused = true;
    log(observe::EventId::MeshSuspectLearned,
        fmt::format("host={} digest={:016x} crashes={}", Report.Node.value(),
                    Suspect.Request.value(), Suspect.Crashes.size()));
  }
  if (AnyRefused)
    refuseQueuedSuspects();
}

void Reduction::refuseQueuedSuspects() {
  std::vector<core::CallId> Refused;
  for (const auto &[Id, Call] : State.Calls)
    if (Call.Phase == CallPhase::Queued &&
        State.Suspects.isRefused({Call.RequestDigest, Call.Caller}))
      Refused.push_back(Id);
  for (const core::CallId Id : Refused) {
    State.Slots.withdraw(Id);
    if (MeshCall *Call = find(Id))
      refuse(*Call, ErrorCode::RequestSuspect);
  }
}

/// One report covers all requests that ran at a crash; their ends arrive one
/// after the other.
void Reduction::reportSuspects() {
  if (!State.HasSuspectsToReport)
    return;
  State.HasSuspectsToReport = false;
  reportToAll();
}

/// New processes read the refused requests from the store. Only the hosts whose
/// targets crashed write them.
void Reduction::publishSuspectsIfChanged() {
  const std::size_t Refused = State.Suspects.refusedHereCount();
  if (Refused == State.SuspectsPublished || !State.StoreReachable ||
      Now < State.NextSuspectPublishAt)
    return;
  State.SuspectsPublished = Refused;
  State.NextSuspectPublishAt = Now + SuspectPublishPeriod;
  Produced.emplace_back(PublishReport{makeHostReport(State, Now)});
}

} // namespace filbertvane::decision::mesh
