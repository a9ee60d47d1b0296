#ifndef FILBERTVANE_DECISION_MESH_CRASHSUSPECTS_H
#define FILBERTVANE_DECISION_MESH_CRASHSUSPECTS_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/decision/mesh/HostReport.h"
#include <deque>
#include <set>
#include <unordered_map>

namespace filbertvane::decision::mesh {

/// @brief Requests that were running when targets crashed, in the whole fleet.
///
/// Handles a request that crashes each target that runs it and is sent again:
/// it is refused after `request::CrashesToRefuse` crashes. All requests that
/// run at a crash are suspects; an answer clears those that did not cause it.
class CrashSuspects {
public:
  /// @brief Identity of a request, the same on each node and for each repeat.
  struct Identity {
    /// Method, host, path and body.
    core::Digest Request;
    core::ServiceName Caller;
  };

  /// @brief Records that a target of this host crashed while it ran a request.
  /// @param Crash identifies the crash in the fleet
  /// @return whether the request is refused from now on
  bool recordCrash(const Identity &Request, core::Digest Crash,
                   core::TimePoint Now);
  /// @brief Records what another node, or the former process of this one,
  /// knows.
  /// @return whether the request is refused from now on
  bool recordReport(const SuspectRequest &Reported, core::TimePoint Now);
  /// @brief Records an answer: this request crashes no target.
  void recordAnswer(const Identity &Request);
  bool isRefused(const Identity &Request) const;

  /// @brief What other nodes need to know: recent crashes of this host's
  /// target,
  ///        and the requests that are refused.
  std::vector<SuspectRequest> reports(core::TimePoint Now) const;
  /// @brief Number of requests that are refused.
  std::size_t refusedCount() const;
  /// @brief Number of those that crashed a target of this host.
  std::size_t refusedHereCount() const;
  /// @brief Ends refusals after `request::SuspectRetention`, and removes
  ///        suspects after another one.
  void expire(core::TimePoint Now);

private:
  struct Suspect {
    std::set<core::Digest> Crashes;
    core::TimePoint Until;
    /// Time until which this node reports a crash of its own target.
    core::TimePoint ReportUntil;
    bool Expired = false;
  };

  static bool isRefused(const Suspect &Known);
  static core::Digest keyOf(const Identity &Request);
  Suspect &suspect(core::Digest Request, core::TimePoint Now);

  std::unordered_map<core::Digest, Suspect> Known;
  /// Requests answered last, oldest first.
  std::deque<core::Digest> AnswerOrder;
  std::unordered_map<core::Digest, std::size_t> Answered;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_CRASHSUSPECTS_H
