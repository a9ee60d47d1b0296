#ifndef FILBERTVANE_WIRE_CONTROLMESSAGE_H
#define FILBERTVANE_WIRE_CONTROLMESSAGE_H

#include "filbertvane/config/LogRecord.h"
#include "filbertvane/core/Error.h"
#include "filbertvane/decision/distribution/Batch.h"
#include "filbertvane/decision/membership/Messages.h"
#include <optional>

namespace filbertvane::wire {

/// @brief First message on a connection: who opened it.
struct Hello {
  core::NodeId Node;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  core::Incarnation Number;
  /// Address at which the sender listens; answers go there.
  std::string ControlAddress;
  /// Keyed hash of the fields above; see `helloProof`.
  core::Digest Proof;

  friend auto operator<=>(const Hello &, const Hello &) = default;
};

/// @name Summaries between leads
/// @{
struct ServiceSummary {
  core::ServiceName Service;
  core::TargetVersion Version;
  std::uint32_t Targets = 0;
  std::uint32_t Slots = 0;
  std::uint32_t FreeSlots = 0;
  std::vector<std::string> EntryAddresses;

  friend auto operator<=>(const ServiceSummary &,
                          const ServiceSummary &) = default;
};
struct DataCentreSummary {
  core::DataCentreId DataCentre;
  core::RegionId Region;
  std::uint64_t Revision = 0;
  std::vector<ServiceSummary> Services;
  core::ConfigVersion LowestVersion;
  core::LogOffset LowestNext;
  /// Control addresses of the lead and the standby.
  std::vector<std::string> LeadAddresses;
  core::NodeId LeadNode;
  /// Revision at which the services last changed.
  std::uint64_t ServicesSince = 0;
  /// The services are left out, because they did not change.
  bool Partial = false;

  friend auto operator<=>(const DataCentreSummary &,
                          const DataCentreSummary &) = default;
};
/// @brief Summaries of data centres; an empty list asks for all of them.
struct Summaries {
  std::vector<DataCentreSummary> DataCentres;

  friend auto operator<=>(const Summaries &, const Summaries &) = default;
};
/// @}

/// @name Evidence of moves
/// @{
struct RouteEvidence {
  core::RouteName Route;
  std::uint64_t NewAnswers = 0;
  std::uint64_t NewFaults = 0;
  std::uint64_t OldAnswers = 0;
  std::uint64_t OldFaults = 0;
  /// Counts of a latency histogram.
  std::vector<std::uint64_t> NewLatency;
  std::vector<std::uint64_t> OldLatency;
  /// Requests that crashed a target of the new and of the old version.
  std::vector<core::Digest> NewCrashes;
  std::vector<core::Digest> OldCrashes;

  friend auto operator<=>(const RouteEvidence &,
                          const RouteEvidence &) = default;
};
struct MoveEvidence {
  config::MoveId Move;
  std::vector<RouteEvidence> Routes;

  friend auto operator<=>(const MoveEvidence &, const MoveEvidence &) = default;
};
/// @brief Sums since the sender's start; the newest of each sender counts.
struct Evidence {
  core::NodeId Sender;
  core::Incarnation Number;
  std::uint64_t Revision = 0;
  std::vector<MoveEvidence> Moves;

  friend auto operator<=>(const Evidence &, const Evidence &) = default;
};
struct LocalRollback {
  config::MoveId Move;
  core::DataCentreId DataCentre;
  config::MoveDecision Decided;
  core::WallTime At;
  /// Share of the move in the configuration that it was made on.
  config::Permille Share = 0;
  /// False when a fault shared by both versions is not yet ruled out.
  bool Proven = false;

  friend auto operator<=>(const LocalRollback &,
                          const LocalRollback &) = default;
};
/// @}

/// @name Suspect requests and claims
/// @{
struct Suspect {
  core::Digest RequestDigest;
  std::uint32_t Crashes = 0;

  friend auto operator<=>(const Suspect &, const Suspect &) = default;
};
struct ClaimRequest {
  std::uint64_t Id = 0;
  core::IdempotencyKey Key;
  core::NodeId Owner;
  core::Digest RequestDigest;
  core::WallTime Deadline;

  friend auto operator<=>(const ClaimRequest &, const ClaimRequest &) = default;
};
struct ClaimReply {
  std::uint64_t Id = 0;
  core::NodeId Owner;
  /// Why the claim is undecided.
  std::optional<core::ErrorCode> Undecided;

  friend auto operator<=>(const ClaimReply &, const ClaimReply &) = default;
};
/// @}

/// @brief Any message between nodes; the order is the one of `MessageKind`.
using ControlMessage = std::variant<
    Hello, decision::membership::Probe, decision::membership::ProbeAck,
    decision::membership::IndirectProbe, decision::membership::IndirectProbeAck,
    decision::membership::JoinRequest, decision::membership::JoinReply,
    decision::membership::Leave, decision::distribution::RecordBatch,
    decision::distribution::RecordsRequest, decision::distribution::Snapshot,
    Summaries, Evidence, LocalRollback, Suspect, ClaimRequest, ClaimReply>;

/// @brief Number of kinds of messages.
inline constexpr std::size_t MessageKinds = std::variant_size_v<ControlMessage>;

/// @brief Name of a kind, for metrics.
/// @param Kind index in `ControlMessage`
std::string_view kindName(std::size_t Kind);

} // namespace filbertvane::wire

#endif // FILBERTVANE_WIRE_CONTROLMESSAGE_H
