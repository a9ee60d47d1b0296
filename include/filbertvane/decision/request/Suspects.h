#ifndef FILBERTVANE_DECISION_REQUEST_SUSPECTS_H
#define FILBERTVANE_DECISION_REQUEST_SUSPECTS_H

#include "filbertvane/core/Digest.h"
#include "filbertvane/core/Time.h"
#include <optional>
#include <unordered_map>

namespace filbertvane::decision::request {

/// Crashes from which on a request is refused: one among other requests and
/// one alone.
inline constexpr std::uint32_t CrashesToRefuse = 2;
/// Time after which a suspect is forgotten.
inline constexpr core::Seconds SuspectRetention{600};

/// @brief Requests that ran when their target crashed.
class Suspects {
public:
  explicit Suspects(std::size_t Most = 1024) : MaxEntries(Most) {}

  /// @brief Crashes ascribed to a request.
  std::uint32_t crashes(core::Digest Request, core::TimePoint Now) const;
  /// @brief Records a number of crashes; a lower one changes nothing.
  /// @return true when another suspect had to be dropped
  bool record(core::Digest Request, std::uint32_t Crashes, core::TimePoint Now);
  /// @brief The request ran alone and its target survived.
  void clear(core::Digest Request) { Records.erase(Request); }
  /// @brief Forgets suspects whose time is over.
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
