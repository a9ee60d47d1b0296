#ifndef FILBERTVANE_DECISION_MEMBERSHIP_MESSAGES_H
#define FILBERTVANE_DECISION_MEMBERSHIP_MESSAGES_H

#include "filbertvane/decision/distribution/Position.h"
#include "filbertvane/decision/membership/Member.h"
#include <variant>
#include <vector>

namespace filbertvane::decision::membership {

/// @brief Asks a member for a sign of life.
struct Probe {
  std::uint64_t Sequence = 0;
  Position ConfigPosition;
  std::vector<Member> Updates;
  friend auto operator<=>(const Probe &, const Probe &) = default;
};
/// @brief Answers a probe.
struct ProbeAck {
  std::uint64_t Sequence = 0;
  Position ConfigPosition;
  std::vector<Member> Updates;
  friend auto operator<=>(const ProbeAck &, const ProbeAck &) = default;
};
/// @brief Asks a member to probe another one on the sender's behalf.
struct IndirectProbe {
  std::uint64_t Sequence = 0;
  core::NodeId Target;
  friend auto operator<=>(const IndirectProbe &,
                          const IndirectProbe &) = default;
};
/// @brief The probe on the receiver's behalf was answered.
struct IndirectProbeAck {
  std::uint64_t Sequence = 0;
  core::NodeId Target;
  friend auto operator<=>(const IndirectProbeAck &,
                          const IndirectProbeAck &) = default;
};
/// @brief Announces a node to a seed, or to a member declared failed.
struct JoinRequest {
  Member Self;
  friend auto operator<=>(const JoinRequest &, const JoinRequest &) = default;
};
/// @brief All members that the answering node knows.
struct JoinReply {
  std::vector<Member> Members;
  Position ConfigPosition;
  friend auto operator<=>(const JoinReply &, const JoinReply &) = default;
};
/// @brief The sender, or its target, leaves; sent to all members directly.
struct Leave {
  Member Self;
  friend auto operator<=>(const Leave &, const Leave &) = default;
};

using Message = std::variant<Probe, ProbeAck, IndirectProbe, IndirectProbeAck,
                             JoinRequest, JoinReply, Leave>;

} // namespace filbertvane::decision::membership

#endif // FILBERTVANE_DECISION_MEMBERSHIP_MESSAGES_H
