#ifndef FILBERTVANE_TOOLS_FV_PLATFORM_INSTANCESTANDIN_H
#define FILBERTVANE_TOOLS_FV_PLATFORM_INSTANCESTANDIN_H

#include "filbertvane/io/HttpClient.h"
#include <map>
#include <set>

namespace filbertvane::tools {

/// @brief What an instance is and how it behaves.
struct InstanceTerms {
  std::string Id;
  std::string Service;
  std::string Version = "v1";
  std::string DataCentre;
  /// `ip:port` at which it serves.
  std::string Address;
  /// `ip:port` of the control port of its node.
  std::string Control;
  std::uint32_t Slots = 4;
  core::Milliseconds Work{20};
  core::Milliseconds BeatPeriod{1500};
  std::uint64_t Born = 1;
  /// Print a line `run ID` for each request that is run.
  bool PrintsRuns = false;
};

/// @brief Stand-in of an application instance of the platform.
///
/// It announces itself, runs requests for a set time, refuses those for another
/// instance and those beyond its slots, and remembers what it ran.
class InstanceStandIn {
public:
  InstanceStandIn(io::EventLoop &Loop, io::HttpClient &Http,
                  InstanceTerms Terms);
  ~InstanceStandIn();
  InstanceStandIn(const InstanceStandIn &) = delete;
  InstanceStandIn &operator=(const InstanceStandIn &) = delete;

  bool open() const { return Server != nullptr; }

  /// @name Behaviour
  /// @{
  void drain();
  void deregister();
  /// @brief Announces itself no more; goes on serving.
  void stopAnnouncing() { Beat.cancel(); }
  /// @brief Runs requests and closes their connections without an answer.
  void loseAnswers(bool Lost) { LosesAnswers = Lost; }
  void setWork(core::Milliseconds Work) { Terms.Work = Work; }
  /// @brief Adds headers to its answers to requests that it ran.
  void addToAnswers(io::Headers Fields) { Added = std::move(Fields); }
  /// @}

  /// @name What it saw
  /// @{
  /// @brief Times that a request was run.
  std::size_t runs(const std::string &RequestId) const;
  std::size_t runsInAll() const { return InAll; }
  /// @brief Time of the last request that reached it.
  core::TimePoint lastArrival() const { return LastArrival; }
  const std::string &lastCaller() const { return LastCaller; }
  /// @brief Headers of the last request that reached it.
  const io::Headers &lastFields() const { return LastFields; }
  /// @brief Whether its departure was acknowledged.
  bool acknowledged() const { return Acknowledged; }
  /// @}

private:
  class Exchange;
  void take(Exchange &Who);
  void finish(Exchange &Who);
  void beat();
  void say(const std::string &Call, const std::string &Body);

  io::EventLoop &Loop;
  io::HttpClient &Http;
  InstanceTerms Terms;
  std::unique_ptr<io::HttpServer> Server;
  io::Timer Beat;
  std::uint64_t Sequence = 0;
  bool Draining = false;
  bool LosesAnswers = false;
  io::Headers Added;
  bool Acknowledged = false;
  std::uint32_t Running = 0;
  std::map<std::string, std::size_t> Runs;
  std::size_t InAll = 0;
  core::TimePoint LastArrival;
  std::string LastCaller;
  io::Headers LastFields;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace filbertvane::tools

#endif // FILBERTVANE_TOOLS_FV_PLATFORM_INSTANCESTANDIN_H
