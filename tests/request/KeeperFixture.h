#ifndef FILBERTVANE_TESTS_REQUEST_KEEPERFIXTURE_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_TESTS_REQUEST_KEEPERFIXTURE_H

#include "NodeFixture.h"
#include "filbertvane/decision/request/claims/ClaimKeeper.h"
#include <cstdio>

namespace request_fixture {

using namespace filbertvane::decision::request::claims;

/// Key created at a time in milliseconds.
inline core::IdempotencyKey keyAt(std::int64_t Millis, unsigned Tail = 0) {
  char Text[64];
  std::snprintf(Text, sizeof Text, "%08llx-%04llx-7000-8000-%012x",
                static_cast<unsigned long long>(Millis >> 16),
                static_cast<unsigned long long>(Millis & 0xffff), Tail);
  return core::IdempotencyKey(Text);
}

inline Claim claimOf(const core::IdempotencyKey &Key, const char *Node,
                     std::uint64_t Call = 1) {
  return {Key,
          {core::NodeId(Node), core::Incarnation(1), core::CallId(Call)},
          core::Digest(7)};
}

/// Claim stream of one partition, shared by keepers.
struct Stream {
  std::uint64_t Head = 0;
  std::vector<StoredBatch> Records;

  void append(const ClaimBatch &Batch) {
    Records.push_back({core::LogOffset(Head + Records.size()), Batch});
  }
  void trim(std::size_t Count) {
    Records.erase(Records.begin(),
                  Records.begin() + static_cast<std::ptrdiff_t>(Count));
    Head += Count;
  }
  RecordsRead read(const ReadStream &From, std::size_t MaxCount = 100) const {
    RecordsRead Found;
    Found.ReadNumber = From.ReadNumber;
    Found.FirstOffset = core::LogOffset(Head);
    Found.EndOffset = core::LogOffset(Head + Records.size());
    Found.NextOffset = std::max(From.FromOffset, Found.FirstOffset);
    for (const StoredBatch &Stored : Records) {
      if (Stored.Offset < Found.NextOffset || Found.Batches.size() >= MaxCount)
        continue;
      Found.Batches.push_back(Stored);
      Found.NextOffset = core::LogOffset(Stored.Offset.value() + 1);
    }
    return Found;
  }
};

/// Claim keeper with the reads, appends and replies that it emitted.
struct KeeperFixture {
  KeeperState Now;
  std::int64_t Millis = 0x018c00000000;
  std::optional<ReadStream> Read;
  std::vector<ClaimBatch> Appends;
  std::map<std::uint64_t, ClaimReply> Replies;
  std::uint64_t LastRequest = 0;

  explicit KeeperFixture(const char *Writer, std::size_t Keys = 1000)
      : Now(settings(Writer, Keys)) {}

  static KeeperSettings settings(const char *Writer, std::size_t Keys) {
    KeeperSettings Config;
    Config.Writer = core::WriterId(Writer);
    Config.Retention = core::Seconds(3600);
    Config.MaxKeys = Keys;
    return Config;
  }

  void handle(const KeeperEvent &Input) {
    auto Step = reduce(std::move(Now), Input, instant(Millis));
    Now = std::move(Step.NextState);
    for (const KeeperEffect &Emitted : Step.EmittedEffects)
      std::visit(core::Overloaded{
                     [&](const ReadStream &E) { Read = E; },
                     [&](const AppendBatch &E) { Appends.push_back(E.Batch); },
                     [&](const ClaimReply &E) { Replies[E.RequestId] = E; },
                     [](const observe::LogEvent &) {}},
                 Emitted);
  }

  std::uint64_t request(const Claim &KeyClaim, std::int64_t WithinMs = 5000) {
    handle(ClaimRequested{++LastRequest, KeyClaim,
                          instant(Millis + WithinMs).Mono});
    return LastRequest;
  }

  /// Completes the read in progress, if any.
  void readFrom(const Stream &Log, std::size_t MaxCount = 100) {
    if (!Read)
      return;
    const ReadStream From = *Read;
    Read.reset();
    handle(Log.read(From, MaxCount));
  }

  ClaimBatch takeAppend() {
    ClaimBatch Batch = Appends.front();
    Appends.erase(Appends.begin());
    return Batch;
  }

  std::optional<core::NodeId> ownerIn(std::uint64_t Request) const {
    const auto Found = Replies.find(Request);
    if (Found == Replies.end() || Found->second.Failure)
      return std::nullopt;
    return Found->second.Owner.Node;
  }

  std::optional<core::ErrorCode> errorIn(std::uint64_t Request) const {
    const auto Found = Replies.find(Request);
    if (Found == Replies.end() || !Found->second.Failure)
      return std::nullopt;
    return Found->second.Failure->Code;
  }
};

} // namespace request_fixture

#endif // FILBERTVANE_TESTS_REQUEST_KEEPERFIXTURE_H
