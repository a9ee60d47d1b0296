#ifndef FILBERTVANE_DECISION_REQUEST_SUSPECTS_H
#define FILBERTVANE_DECISION_REQUEST_SUSPECTS_H

#include "filbertvane/core/Digest.h"
#include "filbertvane/core/Time.h"
#include <optional>
#include <unordered_map>

namespace filbertvane::decision::request {

/// Number of crashes after which a request is refused: one while running with
/// other requests and one while running alone.
inline constexpr std::uint32_t CrashesToRefuse = 2;
/// Time after which a suspect is removed.
inline constexpr core::Seconds SuspectRetention{600};

/// @brief Requests that were running when their target crashed.
class Suspects {
public:
  explicit Suspects(std::size_t MaxEntries = 1024) : MaxEntries(MaxEntries) {}

  /// @brief Number of crashes attributed to a request.
  std::uint32_t crashes(core::Digest Request, core::TimePoint Now) const;
  /// @brief Records the number of crashes of a request; the count never
  ///        decreases.
  /// @return true when another suspect was evicted to stay within the limit
  bool record(core::Digest Request, std::uint32_t Crashes, core::TimePoint Now);
  /// @brief Removes a request that ran alone without crashing its target.
  void clear(core::Digest Request) { Records.erase(Request); }
  /// @brief Removes suspects older than `SuspectRetention`.
  void expire(core::TimePoint Now);
  std::size_t size() const { return Records.size(); }

private:
  struct Record {
    std::uint32_t Crashes = 0;
    core::TimePoint Until;
  };
  std::size_t MaxEntries;
  std::unordered_map<core::Digest, Record> Records;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_SUSPECTS_H
