#ifndef FILBERTVANE_DECISION_REQUEST_TARGETTABLE_H
#define FILBERTVANE_DECISION_REQUEST_TARGETTABLE_H

#include "filbertvane/decision/request/Events.h"
#include <array>
#include <span>
#include <unordered_map>

namespace filbertvane::decision::request {

/// @brief Distance between this node and a target.
enum class Locality : std::uint8_t { DataCentre, Region, OtherRegion };
inline constexpr std::size_t LocalityCount = 3;

/// @brief What this node observed of a target's answers.
struct TargetHealth {
  std::uint32_t ConsecutiveFaults = 0;
  std::uint32_t Samples = 0;
  /// Moving average of faults, 0 to 1.
  double FaultRate = 0;
  /// Moving average of the time to the first byte, in microseconds.
  double LatencyUs = 0;
  /// Set while the target is ejected.
  std::optional<core::TimePoint> EjectedUntil;
  /// Moving average of refusals before the request ran, 0 to 1.
  double RefusalRate = 0;
  std::uint32_t Ejections = 0;
};

/// @brief A target as this node sees it.
struct Target {
  Endpoint Announcement;
  Locality Distance = Locality::OtherRegion;
  /// On this host.
  bool Local = false;
  /// Not announced any more, or leaving; kept until its requests ended.
  bool Removed = false;
  /// Announced in the newest list.
  bool Announced = false;
  /// It said that it leaves; it stays gone while old lists still name it.
  bool Leaving = false;
  /// Requests that this node sent and that did not end.
  std::uint32_t Outstanding = 0;
  /// Bytes of those requests and answers.
  std::uint64_t BytesInFlight = 0;
  /// Start of the warm-up: announcement or re-admission.
  core::TimePoint WarmUpStart;
  TargetHealth Health;
};

/// Position of a target in the table; stable while the target has requests.
using TargetIndex = std::uint32_t;
inline constexpr TargetIndex NoTarget = ~TargetIndex{0};

/// @brief All targets that this node knows, with stable positions.
class TargetTable {
public:
  /// @brief Takes over a new list of endpoints; keeps what was observed of
  ///        those that remain.
  /// Complexity: linear in old and new endpoints.
  void update(const std::vector<Endpoint> &Endpoints, const core::NodeId &Self,
              const core::DataCentreId &DataCentre,
              const core::RegionId &Region);

  /// @brief Marks a target as leaving; it is not selected any more.
  /// @return its position, or `NoTarget`
  TargetIndex markLeaving(const core::TargetId &Id);

  TargetIndex find(const core::TargetId &Id) const;
  Target &operator[](TargetIndex At) { return Entries[At]; }
  const Target &operator[](TargetIndex At) const { return Entries[At]; }
  std::span<const Target> all() const { return Entries; }

private:
  TargetIndex allocateEntry();

  std::vector<Target> Entries;
  std::unordered_map<core::TargetId, TargetIndex> IndexOf;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_TARGETTABLE_H
