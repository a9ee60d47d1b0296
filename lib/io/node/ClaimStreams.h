#ifndef FILBERTVANE_LIB_IO_NODE_CLAIMSTREAMS_H
#define FILBERTVANE_LIB_IO_NODE_CLAIMSTREAMS_H

#include "filbertvane/decision/Node.h"
#include "filbertvane/decision/request/claims/ClaimKeeper.h"
#include "filbertvane/io/ControlServer.h"
#include "filbertvane/io/LogClient.h"
#include <map>
#include <unordered_map>

namespace filbertvane::io {

/// Streams over which claims are spread.
inline constexpr std::uint32_t ClaimPartitions = 16;
/// Wait in which a keeper collects claims for one append.
inline constexpr core::Milliseconds ClaimBatchPeriod{10};

/// @brief Claims of this node's requests, and the partitions that it keeps.
class ClaimStreams {
public:
  struct Surroundings {
    EventLoop &Loop;
    LogClient &Log;
    ControlServer &Control;
    /// Member that keeps a partition.
    std::function<std::optional<decision::Peer>(std::uint32_t)> KeeperOf;
    /// Receives the decisions on this node's own claims.
    std::function<void(const decision::request::ClaimDecided &)> OnDecided;
  };
  /// @param PeerAddress address at which other nodes ask for kept results
  ClaimStreams(Surroundings Around, core::NodeId Self, std::string PeerAddress,
               const core::WriterId &Writer, core::Seconds Retention);

  /// @brief Asks the keeper of a key.
  void request(const decision::request::RequestClaim &What);
  /// @brief A node of the data centre asks this one.
  void requested(const decision::Peer &From, const wire::ClaimRequest &What);
  /// @brief A keeper replied.
  void replied(const wire::ClaimReply &What);
  /// @brief Peer address of an owner, as its claims stated it; empty when no
  ///        claim of it was seen.
  std::string addressOf(const core::NodeId &Owner) const;
  /// @brief Takes over or gives up partitions, and repeats failed reads.
  void tick(bool Ready);

private:
  using KeeperEvent = decision::request::claims::KeeperEvent;
  struct Partition {
    explicit Partition(decision::request::claims::KeeperSettings Own)
        : State(std::move(Own)) {}
    decision::request::claims::KeeperState State;
  };
  struct Requester {
    /// Empty for this node.
    std::string Address;
    std::uint64_t Id = 0;
  };

  void handle(std::uint32_t Number, const KeeperEvent &What);
  void claim(std::uint32_t Number, Requester By,
             const decision::request::claims::Claim &What,
             core::TimePoint Deadline);
  void append(std::uint32_t Number,
              const decision::request::claims::AppendBatch &What);
  void read(std::uint32_t Number,
            const decision::request::claims::ReadStream &What);
  void reply(const decision::request::claims::ClaimReply &What);
  /// @brief Claim identity with the owner's address, as claims carry it.
  std::string textOf(const decision::request::ClaimOwner &Owner) const;
  std::optional<decision::request::ClaimOwner> ownerOf(std::string_view Text);
  decision::request::claims::ClaimBatch decodeBatch(const std::string &Bytes);
  std::string
  encodeBatch(const decision::request::claims::ClaimBatch &Batch) const;

  Surroundings Around;
  core::NodeId Self;
  std::string PeerAddress;
  /// Owners can be in other data centres, whose members are not known here.
  std::unordered_map<core::NodeId, std::string> Addresses;
  std::vector<Partition> Partitions;
  std::map<std::uint64_t, Requester> Requesters;
  std::uint64_t LastRequest = 0;
  Timer BatchTimer;
};

/// @brief Partition of a key.
std::uint32_t claimPartition(const core::IdempotencyKey &Key);

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_NODE_CLAIMSTREAMS_H
