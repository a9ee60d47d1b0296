#ifndef FILBERTVANE_TOOLS_FV_TARGET_TARGET_H
#define FILBERTVANE_TOOLS_FV_TARGET_TARGET_H

#include "filbertvane/core/Random.h"
#include "filbertvane/io/HttpClient.h"
#include <list>

namespace filbertvane::tools {

/// @brief Command line of the target stand-in.
struct TargetOptions {
  std::uint16_t Port = 0;
  /// `ip:port` of the node's admin server; empty for none.
  std::string Admin;
  std::string Service;
  std::string Version;
  std::uint32_t Slots = 18;
  core::Milliseconds ServiceTime{0};
  core::Milliseconds ColdStart{0};
  std::uint64_t Seed = 1;

  /// @name Faults
  /// @{
  double FailRate = 0.;
  std::string FailPath;
  core::Seconds FailAfter{0};
  /// Faults show only above this number of concurrent requests.
  std::uint32_t FailAbove = 0;
  core::Milliseconds Extra{0};
  std::string CrashHeader;
  bool Misreport = false;
  /// @}
};

class Job;

/// @brief Target stand-in: runs requests, counts executions, shows faults.
class Target {
public:
  Target(io::EventLoop &Loop, TargetOptions Settings);
  ~Target();

  /// @brief Opens the port and starts to announce.
  core::Status open();
  std::uint16_t port() const { return Server->port(); }

  /// @brief Announces the departure, finishes work and stops the loop.
  void drain();

  /// @name Calls of jobs
  /// @{
  /// @brief Whether the request may start; counts it as executed if so.
  bool begin(const io::RequestHead &Head);
  void end();
  /// @brief Duration of the request's work.
  core::Microseconds workTime(const io::RequestHead &Head) const;
  bool fails(const io::RequestHead &Head);
  bool crashes(const io::RequestHead &Head) const;
  std::string executionsJson() const;
  std::string loadJson() const;
  io::EventLoop &loop() { return Loop; }
  /// @}

  /// @brief One line of figures for measures.
  std::string summaryJson() const;

private:
  bool faulty(const io::RequestHead &Head) const;
  void announce();
  void maybeStop();

  io::EventLoop &Loop;
  TargetOptions Settings;
  core::Random Chance;
  core::TimePoint Begin;
  std::unique_ptr<io::HttpClient> Client;
  std::unique_ptr<io::HttpServer> Server;
  io::Timer Announce;
  io::Timer StopCheck;
  std::string Id;
  std::uint32_t Running = 0;
  std::uint64_t Served = 0;
  std::uint64_t Shed = 0;
  bool Draining = false;
  bool LeftNode = false;
  core::TimePoint DrainBegin;
  core::Microseconds LastNewWork{0};
  std::map<std::string, std::uint32_t> Executions;
};

} // namespace filbertvane::tools

#endif // FILBERTVANE_TOOLS_FV_TARGET_TARGET_H
