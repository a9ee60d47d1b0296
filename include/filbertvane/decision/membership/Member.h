#ifndef FILBERTVANE_DECISION_MEMBERSHIP_MEMBER_H
#define FILBERTVANE_DECISION_MEMBERSHIP_MEMBER_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Time.h"
#include <cstdint>
#include <optional>

namespace filbertvane::decision::membership {

/// @brief Status of a member, in ascending precedence within one incarnation
///        and revision.
enum class MemberStatus { Alive, Suspect, Failed, Left };

/// @brief Target that runs on the host of a node.
struct TargetAnnouncement {
  core::TargetId Id;
  core::ServiceName Service;
  core::TargetVersion Version;
  std::uint32_t Slots = 0;
  core::WallTime Since;
  /// The target accepts no new requests.
  bool Leaving = false;

  friend auto operator<=>(const TargetAnnouncement &,
                          const TargetAnnouncement &) = default;
};

/// @brief State of a node of the data centre, as gossiped between members.
struct Member {
  core::NodeId Node;
  core::Incarnation Incarnation;
  MemberStatus Status = MemberStatus::Alive;
  std::string ControlAddress;
  std::string PeerAddress;
  std::optional<TargetAnnouncement> Target;
  /// Incremented with each change that the node announces about itself.
  std::uint64_t Revision = 0;
  bool Ready = false;

  friend auto operator<=>(const Member &, const Member &) = default;
};

/// @brief Whether a member is alive or suspected.
bool isLive(const Member &M);

/// @brief Whether an update overrides the known state of a member; the higher
///        (incarnation, revision, status) wins.
bool supersedes(const Member &Update, const Member &Known);

/// @name Incarnations
///
/// The upper bits identify the process, the lower `RefutationBits` count its
/// refutations, so that a refutation is not mistaken for a new process.
/// @{
inline constexpr unsigned RefutationBits = 10;

/// @brief First incarnation of a process that started at the given time.
///
/// A host whose clock went back takes a higher incarnation when it learns that
/// of its former process.
core::Incarnation firstIncarnation(core::WallTime Started);

/// @brief Lowest incarnation above all incarnations of the given process.
core::Incarnation incarnationAfter(core::Incarnation Former);

/// @brief Whether two incarnations belong to one process.
bool sameProcess(core::Incarnation A, core::Incarnation B);
/// @}

} // namespace filbertvane::decision::membership

#endif // FILBERTVANE_DECISION_MEMBERSHIP_MEMBER_H
