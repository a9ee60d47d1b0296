#include "SilentPeers.h"

namespace filbertvane::io {

namespace {

/// Longer than an idle connection is kept, so that no silent one is left.
constexpr core::Seconds SilenceMemory{60};
/// Addresses remembered; above it, entries without recent silence are dropped.
constexpr std::size_t MaxPeers = 4096;
/// libcurl compares ages in whole seconds.
constexpr core::Seconds AgeStep{1};

} // namespace

void SilentPeers::answered(const std::string &Address, core::TimePoint Now) {
  prune(Now);
  Peers[Address].LastAnswer = Now;
}

void SilentPeers::timedOut(const std::string &Address, core::TimePoint Since,
                           core::TimePoint Now) {
  prune(Now);
  Peer &Found = Peers[Address];
  if (Found.LastAnswer < Since)
    Found.SilentAt = Now;
}

std::optional<core::Seconds> SilentPeers::maxAge(const std::string &Address,
                                                 core::TimePoint Now) {
  const auto Found = Peers.find(Address);
  if (Found == Peers.end() || !Found->second.SilentAt)
    return std::nullopt;
  const core::Microseconds Passed = Now - *Found->second.SilentAt;
  if (Passed > SilenceMemory) {
    Found->second.SilentAt.reset();
    return std::nullopt;
  }
  const auto Whole = std::chrono::floor<core::Seconds>(Passed);
  return std::max(Whole - AgeStep, core::Seconds(0));
}

void SilentPeers::prune(core::TimePoint Now) {
  if (Peers.size() < MaxPeers)
    return;
  std::erase_if(Peers, [Now](const auto &Entry) {
    const auto &SilentAt = Entry.second.SilentAt;
    return !SilentAt || Now - *SilentAt > SilenceMemory;
  });
}

} // namespace filbertvane::io
