#include "Reduction.h"
#include "filbertvane/core/Digest.h"
#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace filbertvane::decision::mesh {

using core::ErrorCode;

/// Every request that ran at the crash is a suspect. The crashes of one target
/// process count once.
void Reduction::recordCrash(const CrashSuspects::Identity &Request,
                            std::uint64_t Generation, std::string_view Detail) {
  const core::Digest Crash = core::digestOf(
      fmt::format("{}/{}/{}", State.Settings.Node.value(),
                  State.Settings.Incarnation.value(), Generation));
  const bool Refused = State.Suspects.recordCrash(Request, Crash, Now);
  State.HasSuspectsToReport = true;
  log(observe::EventId::MeshTargetCrashed,
      fmt::format("{} digest={:016x} refused={}", Detail,
                  Request.Request.value(), Refused));
  if (Refused)
    refuseQueuedSuspects();
}

/// The connections of a target that falls silent stay open. Whether it crashed
/// shows later; until then the requests that it lost are kept.
void Reduction::recordUnanswered(const MeshCall &Call) {
  if (!State.Target || State.Target->Generation != Call.TargetGeneration ||
      State.Target->Unanswered.size() >= State.Target->Announcement.Slots)
    return;
  State.Target->Unanswered.push_back(
      {{Call.RequestDigest, Call.Caller}, Call.Terms.Route, Call.SentAt});
}

/// The target process ended without notice: it is silent, or another process
/// has taken its place. One that leaves ends in order.
void Reduction::recordSilentCrash(std::string_view Sign) {
  LocalTarget &Target = *State.Target;
  if (Target.CrashRecorded || Target.State == TargetState::Draining)
    return;
  for (const auto &[Id, Call] : State.Calls)
    if (Call.Phase == CallPhase::AtTarget)
      recordUnanswered(Call);
  const std::vector<UnansweredRequest> Lost =
      std::exchange(Target.Unanswered, {});
  if (Lost.empty())
    return;
  Target.CrashRecorded = true;
  // A target that lived on would have answered the first of them within the
  // usual time; what was sent later did not cause the crash.
  const auto First =
      std::ranges::min_element(Lost, {}, &UnansweredRequest::SentAt);
  const core::TimePoint CrashedBefore =
      First->SentAt + State.Slots.typicalTime(First->Route);
  for (const UnansweredRequest &Each : Lost)
    if (Each.SentAt <= CrashedBefore)
      recordCrash(Each.Request, Target.Generation,
                  fmt::format("target={} sign={}",
                              Target.Announcement.Id.value(), Sign));
}

void Reduction::recordSignOfLife() {
  State.Target->Unanswered.clear();
  State.Target->CrashRecorded = false;
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
