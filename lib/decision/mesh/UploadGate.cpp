#include "filbertvane/decision/mesh/UploadGate.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Part of the link that uploads can be expected to get; the rest is for
/// answers, reports and the headers of packets.
constexpr double UploadShare = 0.8;
/// Bodies under way take the link at most for this time, so that other packets
/// wait for less. It covers the round trips in which a body of 64 KB from
/// another region arrives.
constexpr double LongestQueueSeconds = 0.2;
/// A body that brings nothing for this time comes from a slow caller and does
/// not use the link.
constexpr core::Milliseconds StallTime{500};

} // namespace

UploadGate::UploadGate(double LinkBytesPerSecond)
    : BytesPerSecond(UploadShare * LinkBytesPerSecond),
      MaxInFlight(static_cast<std::uint64_t>(LinkBytesPerSecond *
                                             LongestQueueSeconds)) {}

core::Microseconds UploadGate::transferTime(std::uint64_t Bytes) const {
  if (BytesPerSecond <= 0)
    return core::Microseconds(0);
  return core::Microseconds(static_cast<std::int64_t>(
      static_cast<double>(Bytes) / BytesPerSecond * 1e6));
}

core::Microseconds UploadGate::wait() const {
  return transferTime(InFlight + WaitingBytes);
}

/// The last body may pass the bound, so that one larger than it starts as well.
bool UploadGate::hasCapacity() const {
  return BytesPerSecond <= 0 || InFlight < MaxInFlight;
}

void UploadGate::begin(const Upload &Chosen, core::TimePoint Now) {
  Started[Chosen.Id] = {Chosen.Bytes, Now + StallTime};
  InFlight += Chosen.Bytes;
}

void UploadGate::dropStalled(core::TimePoint Now) {
  std::erase_if(Started, [&](const auto &Entry) {
    const bool Stalled = Entry.second.StalledAt <= Now;
    InFlight -= Stalled ? Entry.second.Left : 0;
    return Stalled;
  });
}

UploadVerdict UploadGate::submit(const Upload &Announced, core::TimePoint Now) {
  dropStalled(Now);
  std::uint64_t Earlier = InFlight + Announced.Bytes;
  for (const auto &[Id, Each] : Waiting)
    if (Each.NeededBy <= Announced.NeededBy)
      Earlier += Each.Bytes;
  if (Now + transferTime(Earlier) > Announced.NeededBy)
    return UploadVerdict::Refuse;
  if (hasCapacity() && Waiting.empty()) {
    begin(Announced, Now);
    return UploadVerdict::Start;
  }
  Waiting[Announced.Id] = Announced;
  WaitingBytes += Announced.Bytes;
  return UploadVerdict::Wait;
}

void UploadGate::receive(core::CallId Id, std::uint64_t Bytes,
                         core::TimePoint Now) {
  const auto Found = Started.find(Id);
  if (Found == Started.end())
    return;
  Body &Arriving = Found->second;
  const std::uint64_t Counted = std::min(Bytes, Arriving.Left);
  Arriving.Left -= Counted;
  Arriving.StalledAt = Now + StallTime;
  InFlight -= Counted;
}

void UploadGate::end(core::CallId Id) {
  if (const auto Found = Started.find(Id); Found != Started.end()) {
    InFlight -= Found->second.Left;
    Started.erase(Found);
  }
  if (const auto Found = Waiting.find(Id); Found != Waiting.end()) {
    WaitingBytes -= Found->second.Bytes;
    Waiting.erase(Found);
  }
}

std::vector<core::CallId> UploadGate::start(core::TimePoint Now) {
  dropStalled(Now);
  std::vector<core::CallId> Next;
  while (!Waiting.empty() && hasCapacity()) {
    const auto First = std::ranges::min_element(
        Waiting, {}, [](const auto &Entry) { return Entry.second.NeededBy; });
    const Upload Chosen = First->second;
    end(Chosen.Id);
    begin(Chosen, Now);
    Next.push_back(Chosen.Id);
  }
  return Next;
}

std::vector<core::CallId> UploadGate::takeHopeless(core::TimePoint Now) {
  std::vector<core::CallId> Late;
  for (const auto &[Id, Each] : Waiting)
    if (Now + transferTime(Each.Bytes) > Each.NeededBy)
      Late.push_back(Id);
  for (const core::CallId Id : Late)
    end(Id);
  return Late;
}

} // namespace filbertvane::decision::mesh
