#ifndef FILBERTVANE_DECISION_MESH_UPLOADGATE_H
#define FILBERTVANE_DECISION_MESH_UPLOADGATE_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Time.h"
#include <cstdint>
#include <map>
#include <vector>

namespace filbertvane::decision::mesh {

/// @brief Request body that another node announced and has not sent yet.
struct Upload {
  core::CallId Id;
  std::uint64_t Bytes = 0;
  /// Time by which the whole body has to be here to be of use.
  core::TimePoint NeededBy;

  friend auto operator<=>(const Upload &, const Upload &) = default;
};

/// @brief Decision on an announced upload.
enum class UploadVerdict : std::uint8_t { Start, Wait, Refuse };

/// @brief Admits large request bodies of other nodes to the link of this host.
///
/// Load: many nodes send large requests to one host. Without a bound, each
/// packet to the host waits behind all of them, and no connection opens any
/// more (docs/design/uploads.md).
class UploadGate {
public:
  /// Bodies up to this size are sent without being announced.
  static constexpr std::uint64_t SmallBodyBytes = std::uint64_t{16} * 1024;
  /// Size assumed for a body of unknown length.
  static constexpr std::uint64_t AssumedBytes = std::uint64_t{64} * 1024;

  /// @param LinkBytesPerSecond rate of the host's link; 0 for no limit
  explicit UploadGate(double LinkBytesPerSecond = 0);

  /// @brief Decides on an upload; one that starts or waits is known until
  ///        `end`.
  UploadVerdict submit(const Upload &Announced, core::TimePoint Now);
  /// @brief Records that a part of a started body arrived.
  void receive(core::CallId Id, std::uint64_t Bytes, core::TimePoint Now);
  /// @brief Forgets an upload that is whole, refused or broken off.
  void end(core::CallId Id);

  /// @brief Starts waiting uploads as far as there is room, the most urgent
  ///        first.
  std::vector<core::CallId> start(core::TimePoint Now);
  /// @brief Removes and returns the waiting uploads that can't be whole in
  ///        time.
  std::vector<core::CallId> takeHopeless(core::TimePoint Now);

  /// @brief Time that all announced bytes need on the link.
  core::Microseconds wait() const;
  std::size_t waitingCount() const { return Waiting.size(); }

private:
  struct Body {
    std::uint64_t Left = 0;
    /// Without a further part, its sender counts as slow from then on.
    core::TimePoint StalledAt;
  };
  bool hasCapacity() const;
  void begin(const Upload &Chosen, core::TimePoint Now);
  void dropStalled(core::TimePoint Now);
  core::Microseconds transferTime(std::uint64_t Bytes) const;

  double BytesPerSecond;
  std::uint64_t MaxInFlight;
  std::map<core::CallId, Body> Started;
  /// Bytes of started bodies that have not arrived.
  std::uint64_t InFlight = 0;
  std::map<core::CallId, Upload> Waiting;
  std::uint64_t WaitingBytes = 0;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_UPLOADGATE_H
