#ifndef FILBERTVANE_DECISION_MEMBERSHIP_MEMBER_H
#define FILBERTVANE_DECISION_MEMBERSHIP_MEMBER_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Time.h"
#include <cstdint>
#include <optional>

namespace filbertvane::decision::membership {

/// @brief Status of a member; a later one overrides an earlier one of the
///        same incarnation and revision.
enum class MemberStatus { Alive, Suspect, Failed, Left };

/// @brief A target that a node's host runs.
struct TargetAnnouncement {
  core::TargetId Id;
  core::ServiceName Service;
  core::TargetVersion Version;
  std::uint32_t Slots = 0;
  core::WallTime Since;
  /// The target takes no new work.
  bool Leaving = false;

  friend auto operator<=>(const TargetAnnouncement &,
                          const TargetAnnouncement &) = default;
};

/// @brief What is known of a node of the data centre.
struct Member {
  core::NodeId Node;
  core::Incarnation Incarnation;
  MemberStatus Status = MemberStatus::Alive;
  std::string ControlAddress;
  std::string PeerAddress;
  std::optional<TargetAnnouncement> Target;
  /// Rises with each change that the node announces of itself.
  std::uint64_t Revision = 0;
  bool Ready = false;

  friend auto operator<=>(const Member &, const Member &) = default;
};

/// @brief Whether a node takes part: it is alive, or only suspected.
bool isLive(const Member &Which);

/// @brief Whether news of a node override what is known: the higher
///        (incarnation, revision, status) wins.
bool supersedes(const Member &News, const Member &Known);

/// @name Incarnations
///
/// The upper bits number the process, the lower `RefutationBits` count its
/// refutations, so that a refutation is not taken for a new process.
/// @{
inline constexpr unsigned RefutationBits = 10;

/// @brief First incarnation of a process. A host whose clock went back takes
///        a higher one when it hears of its former process.
core::Incarnation firstIncarnation(core::WallTime Started);

/// @brief First incarnation that is higher than all of a process.
core::Incarnation incarnationAfter(core::Incarnation Former);

/// @brief Whether two incarnations belong to one process.
bool sameProcess(core::Incarnation A, core::Incarnation B);
/// @}

} // namespace filbertvane::decision::membership

#endif // FILBERTVANE_DECISION_MEMBERSHIP_MEMBER_H
