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

/// @brief Observed health of a target.
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

/// @brief Announcement and observed state of a target.
struct Target {
  Endpoint Announcement;
  Locality Distance = Locality::OtherRegion;
  /// The target stands on this host.
  bool Local = false;
  /// No longer announced, or leaving; kept until its requests have ended.
  bool Removed = false;
  /// Contained in the newest list of endpoints.
  bool Announced = false;
  /// The target announced that it leaves; it stays removed even if an outdated
  /// list still contains it.
  bool Leaving = false;
  /// Requests of this node that have not ended.
  std::uint32_t Outstanding = 0;
  /// Bytes of those requests and answers.
  std::uint64_t BytesInFlight = 0;
  /// Start of the warm-up: announcement or re-admission.
  core::TimePoint WarmUpStart;
  TargetHealth Health;
};

/// Index of a target in the table; stable while the target has requests.
using TargetIndex = std::uint32_t;
inline constexpr TargetIndex NoTarget = ~TargetIndex{0};

/// @brief All targets known to this node, with stable indexes.
class TargetTable {
public:
  /// @brief Applies a new list of endpoints; the observed state of remaining
  ///        targets is kept.
  /// Complexity: linear in old and new endpoints.
  void update(const std::vector<Endpoint> &Endpoints, const core::NodeId &Self,
              const core::DataCentreId &DataCentre,
              const core::RegionId &Region);

  /// @brief Marks a target as leaving, so that it is no longer selected.
  /// @return its index, or `NoTarget`
  TargetIndex markLeaving(const core::TargetId &Id);

  TargetIndex find(const core::TargetId &Id) const;
  Target &operator[](TargetIndex Index) { return Entries[Index]; }
  const Target &operator[](TargetIndex Index) const { return Entries[Index]; }
  std::span<const Target> all() const { return Entries; }

private:
  TargetIndex allocateEntry();

  std::vector<Target> Entries;
  std::unordered_map<core::TargetId, TargetIndex> IndexOf;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_TARGETTABLE_H
