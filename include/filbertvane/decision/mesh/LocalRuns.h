#ifndef FILBERTVANE_DECISION_MESH_LOCALRUNS_H
#define FILBERTVANE_DECISION_MESH_LOCALRUNS_H

#include "filbertvane/core/Ids.h"
#include <map>
#include <string>
#include <unordered_map>

namespace filbertvane::decision::mesh {

/// @brief Requests that the local target runs, and the calls that they make.
///
/// A call of a repeated run is itself a repeat for the service that it goes to.
/// Only the host of the target that makes the call can tell.
class LocalRuns {
public:
  using CallsByService = std::map<core::ServiceName, double>;

  /// @brief A repeated request waits for a slot of the target.
  void addWaiting(const std::string &RequestId, const core::RouteName &Route) {
    Waiting.insert_or_assign(RequestId, Route);
  }
  /// @brief It is refused, or placed elsewhere.
  void removeWaiting(const std::string &RequestId) { Waiting.erase(RequestId); }
  void start(const std::string &RequestId, const core::RouteName &Route,
             bool Repeated);
  void end(const std::string &RequestId);
  /// @brief A new process replaced the target.
  void clear() { Running.clear(); }

  /// @brief Counts a request that began on this host.
  /// @param ParentId id of the request whose run makes the call
  /// @return whether a repeated run of the target makes the call
  bool recordCall(const std::string &ParentId, const core::ServiceName &Callee);

  /// @brief Notes that a call of a run failed: an answer with a failure of that
  ///        run is no fault of the target.
  void recordCallFailure(const std::string &ParentId);
  bool hasFailedCall(const std::string &RequestId) const;
  bool isRunning(const std::string &RequestId) const {
    return Running.contains(RequestId);
  }

  /// @brief Mean number of calls that a run of the route makes, by service.
  CallsByService callsPerRun(const core::RouteName &Route) const;
  /// @brief Calls to the service that repeated requests which wait or run have
  ///        yet to make, by the mean of their routes.
  double expectedRepeatedCalls(const core::ServiceName &Callee) const;

private:
  struct Run {
    core::RouteName Route;
    bool Repeated = false;
    bool CallFailed = false;
    /// Calls made so far.
    std::map<core::ServiceName, std::uint32_t> Calls;
  };
  /// Decaying counts.
  struct RouteCounts {
    double Runs = 0;
    CallsByService Calls;
  };

  double meanCalls(const core::RouteName &Route,
                   const core::ServiceName &Callee) const;

  std::unordered_map<std::string, core::RouteName> Waiting;
  std::unordered_map<std::string, Run> Running;
  std::map<core::RouteName, RouteCounts> Counts;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_LOCALRUNS_H
