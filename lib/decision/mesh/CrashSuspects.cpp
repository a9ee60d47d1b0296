#include "filbertvane/decision/mesh/CrashSuspects.h"
#include "filbertvane/core/Random.h"
#include "filbertvane/decision/mesh/Limits.h"
#include "filbertvane/decision/request/Suspects.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Suspects kept at most; a crash adds as many as the target has slots.
constexpr std::size_t MaximumSuspects = 1024;
/// Suspects in one report, so that it fits in a datagram.
constexpr std::size_t MaximumReportedSuspects = 64;
/// Answered requests that are remembered: those of about ten seconds of a busy
/// node. What is popular is answered within this time by each node.
constexpr std::size_t MaximumAnswered = 1024;

/// Draws at random what does not fit as a whole, so that each has its turn.
void appendSome(std::vector<SuspectRequest> &Reports,
                std::vector<SuspectRequest> Candidates, core::Random &Source) {
  std::ranges::sort(Candidates);
  for (std::size_t I = 0;
       I < Candidates.size() && Reports.size() < MaximumReportedSuspects; ++I) {
    std::swap(Candidates[I],
              Candidates[I + Source.below(Candidates.size() - I)]);
    Reports.push_back(std::move(Candidates[I]));
  }
}

} // namespace

core::Digest CrashSuspects::keyOf(const Identity &Request) {
  return core::digestOf(Request.Caller.value(), Request.Request.value());
}

bool CrashSuspects::isRefused(const Suspect &Known) {
  return !Known.Expired && Known.Crashes.size() >= request::CrashesToRefuse;
}

CrashSuspects::Suspect &CrashSuspects::suspect(core::Digest Request,
                                               core::TimePoint Now) {
  if (Known.size() >= MaximumSuspects && !Known.contains(Request))
    Known.erase(std::ranges::min_element(Known, {}, [](const auto &Entry) {
      return std::pair(isRefused(Entry.second), Entry.second.Until);
    }));
  Suspect &Found = Known[Request];
  Found.Until = Now + request::SuspectRetention;
  Found.Expired = false;
  return Found;
}

bool CrashSuspects::recordCrash(const Identity &Request, core::Digest Crash,
                                core::TimePoint Now) {
  if (Answered.contains(keyOf(Request)))
    return false;
  Suspect &Found = suspect(Request.Request, Now);
  Found.ReportUntil = Now + CrashReportTime;
  Found.Crashes.insert(Crash);
  return isRefused(Found);
}

bool CrashSuspects::recordReport(const SuspectRequest &Reported,
                                 core::TimePoint Now) {
  const auto Before = Known.find(Reported.Request);
  // A report that repeats what is known does not extend the retention.
  if (Before != Known.end() &&
      std::ranges::all_of(Reported.Crashes, [&](core::Digest Crash) {
        return Before->second.Crashes.contains(Crash);
      }))
    return false;
  Suspect &Found = suspect(Reported.Request, Now);
  Found.Crashes.insert(Reported.Crashes.begin(), Reported.Crashes.end());
  return isRefused(Found);
}

void CrashSuspects::recordAnswer(const Identity &Request) {
  const core::Digest Key = keyOf(Request);
  AnswerOrder.push_back(Key);
  ++Answered[Key];
  if (AnswerOrder.size() <= MaximumAnswered)
    return;
  const auto Oldest = Answered.find(AnswerOrder.front());
  if (--Oldest->second == 0)
    Answered.erase(Oldest);
  AnswerOrder.pop_front();
}

bool CrashSuspects::isRefused(const Identity &Request) const {
  const auto Found = Known.find(Request.Request);
  return Found != Known.end() && isRefused(Found->second) &&
         !Answered.contains(keyOf(Request));
}

std::vector<SuspectRequest> CrashSuspects::reports(core::TimePoint Now) const {
  std::vector<SuspectRequest> Recent;
  std::vector<SuspectRequest> Refused;
  for (const auto &[Request, Each] : Known) {
    const bool IsRecent = Now < Each.ReportUntil;
    if (!IsRecent && !isRefused(Each))
      continue;
    SuspectRequest Report{Request, {Each.Crashes.begin(), Each.Crashes.end()}};
    // Further crashes change nothing for those who receive the report.
    if (Report.Crashes.size() > request::CrashesToRefuse)
      Report.Crashes.resize(request::CrashesToRefuse);
    (IsRecent ? Recent : Refused).push_back(std::move(Report));
  }
  // Only this node knows its own recent crashes; all know what is refused.
  core::Random Source(
      static_cast<std::uint64_t>(Now.time_since_epoch().count()));
  std::vector<SuspectRequest> Reports;
  appendSome(Reports, std::move(Recent), Source);
  appendSome(Reports, std::move(Refused), Source);
  return Reports;
}

std::size_t CrashSuspects::refusedCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Known, [](const auto &Entry) { return isRefused(Entry.second); }));
}

std::size_t CrashSuspects::refusedHereCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Known, [](const auto &Entry) {
        return isRefused(Entry.second) &&
               Entry.second.ReportUntil != core::TimePoint();
      }));
}

/// Nodes learn of a suspect one after the other. An expired one is kept, so
/// that the report of a node that learned of it later does not renew it.
void CrashSuspects::expire(core::TimePoint Now) {
  for (auto &[Request, Each] : Known)
    Each.Expired = Each.Until <= Now;
  std::erase_if(Known, [Now](const auto &Entry) {
    return Entry.second.Until + request::SuspectRetention <= Now;
  });
}

} // namespace filbertvane::decision::mesh
