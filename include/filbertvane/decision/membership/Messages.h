#ifndef FILBERTVANE_DECISION_MEMBERSHIP_MESSAGES_H
#define FILBERTVANE_DECISION_MEMBERSHIP_MESSAGES_H

#include "filbertvane/decision/distribution/Position.h"
#include "filbertvane/decision/membership/Member.h"
#include <variant>
#include <vector>

namespace filbertvane::decision::membership {

/// @brief Asks a member to acknowledge that it is alive.
struct Probe {
  std::uint64_t Sequence = 0;
  Position ConfigPosition;
  std::vector<Member> Updates;
  friend auto operator<=>(const Probe &, const Probe &) = default;
};
/// @brief Acknowledges a probe.
struct ProbeAck {
  std::uint64_t Sequence = 0;
  Position ConfigPosition;
  std::vector<Member> Updates;
  friend auto operator<=>(const ProbeAck &, const ProbeAck &) = default;
};
/// @brief Asks a member to probe another member on behalf of the sender.
struct IndirectProbe {
  std::uint64_t Sequence = 0;
  core::NodeId Target;
  friend auto operator<=>(const IndirectProbe &,
                          const IndirectProbe &) = default;
};
/// @brief The probe on behalf of the receiver was acknowledged.
struct IndirectProbeAck {
  std::uint64_t Sequence = 0;
  core::NodeId Target;
  friend auto operator<=>(const IndirectProbeAck &,
                          const IndirectProbeAck &) = default;
};
/// @brief Announces the sender to a seed or to a failed member.
struct JoinRequest {
  Member Self;
  friend auto operator<=>(const JoinRequest &, const JoinRequest &) = default;
};
/// @brief All members known to the sender, in reply to a `JoinRequest`.
struct JoinReply {
  std::vector<Member> Members;
  Position ConfigPosition;
  friend auto operator<=>(const JoinReply &, const JoinReply &) = default;
};
/// @brief The sender or its target leaves; sent to all members directly.
struct Leave {
  Member Self;
  friend auto operator<=>(const Leave &, const Leave &) = default;
};

using Message = std::variant<Probe, ProbeAck, IndirectProbe, IndirectProbeAck,
                             JoinRequest, JoinReply, Leave>;

} // namespace filbertvane::decision::membership

#endif // FILBERTVANE_DECISION_MEMBERSHIP_MESSAGES_H
