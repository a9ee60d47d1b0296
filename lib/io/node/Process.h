#ifndef FILBERTVANE_LIB_IO_NODE_PROCESS_H
#define FILBERTVANE_LIB_IO_NODE_PROCESS_H

#include "ClaimStreams.h"
#include "filbertvane/io/AdminServer.h"
#include "filbertvane/io/NodeProcess.h"
#include "filbertvane/io/ProxyEngine.h"
#include "filbertvane/observe/Metrics.h"
#include "filbertvane/observe/Tracer.h"
#include <deque>

namespace filbertvane::io {

/// @brief Connects the decisions of a node with its ports, log and clock.
class Process final : public NodeProcess {
public:
  Process(EventLoop &Loop, const config::Settings &Settings);
  core::Status open();
  void drain() override;

private:
  /// @name Events
  /// @{
  /// @brief Decides about an event, carries out its effects, and returns those
  ///        that concern requests.
  decision::request::Effects dispatch(decision::NodeEvent What);
  void handle(decision::NodeEvent What);
  void tick();
  void finishDrainWhenIdle();
  /// @}

  /// @name Effects
  /// @{
  void carryOut(const decision::SendControl &What);
  void carryOut(const decision::AppendConfig &What);
  void carryOut(const decision::ClaimReceived &What);
  void carryOut(const decision::ClaimReplied &What);
  void carryOut(const decision::distribution::ReadLog &What);
  void carryOut(const decision::distribution::CheckLogEnd &What);
  void carryOut(const decision::distribution::StateAdopted &What);
  void carryOut(const decision::distribution::ReadyChanged &What);
  void carryOut(const decision::lease::AppendRenewal &What);
  void carryOut(const observe::LogEvent &What);
  /// @}

  /// @name Log
  /// @{
  void logRead(const core::Result<LogRead> &Done);
  void noteLogAvailability(bool Up);
  void readLeaseStream();
  void leaseRead(const core::Result<LogRead> &Done, core::TimePoint SentAt);
  /// @}

  /// @name Parts
  /// @{
  core::Status openControl();
  core::Status openEngine();
  core::Status openAdmin();
  ProxyEngine::Callbacks engineCallbacks();
  void askOwner(const decision::request::AnswerFromOwner &What);
  void noteHop(const HopRecord &Hop);
  /// @}

  /// @name Status
  /// @{
  std::string status() const;
  std::string metrics();
  void noteConnects();
  /// @}

  EventLoop &Loop;
  config::Settings Settings;
  core::Incarnation Number;
  decision::NodeState State;
  std::unique_ptr<HttpClient> Http;
  LogClient Log;
  std::unique_ptr<ControlServer> Control;
  std::unique_ptr<ProxyEngine> Engine;
  std::unique_ptr<AdminServer> Admin;
  std::unique_ptr<ClaimStreams> Claims;
  std::unique_ptr<observe::Tracer> Spans;
  observe::Metrics Figures;
  Timer Ticker;

  /// @name Lease stream
  /// @{
  bool LeaseReading = false;
  core::LogOffset LeaseNext;
  core::TimePoint LeaseRetryAt;
  /// @}

  bool LogUp = true;
  std::uint64_t LogBytesIn = 0;
  std::uint64_t LogBytesOut = 0;
  /// Adopted versions: version, time of adoption, time of publication (ms).
  struct Adoption {
    std::uint64_t Version;
    std::int64_t AdoptedMs;
    std::int64_t PublishedMs;
  };
  std::deque<Adoption> Adopted;
  /// @name Connects of the current second, and the most of any second
  /// @{
  core::TimePoint ConnectsSince;
  std::uint64_t ConnectsBefore = 0;
  std::uint64_t PeakConnects = 0;
  /// @}
  std::optional<core::TimePoint> DrainEarliest;
  core::TimePoint DrainLatest;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_NODE_PROCESS_H
