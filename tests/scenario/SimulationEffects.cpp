#include "FakeFold.h"
#include "Simulation.h"
#include "filbertvane/wire/ControlCodec.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::scenario {

namespace membership = decision::membership;
namespace distribution = decision::distribution;
namespace lease = decision::lease;

namespace {

constexpr core::Microseconds LogDelay{4000};
constexpr core::Microseconds LocalDelay{1000};
constexpr core::Microseconds RegionDelay{20000};
constexpr std::size_t LogPage = 64;

template <typename To, typename From> To widened(const From &Narrow) {
  return std::visit([](const auto &Alternative) { return To(Alternative); },
                    Narrow);
}

} // namespace

bool Simulation::connected(const SimNode &A, const SimNode &B) const {
  return !Cuts.contains(std::minmax(A.DataCentre, B.DataCentre)) &&
         !Cuts.contains(std::minmax(A.Name, B.Name));
}

bool Simulation::logReachable(const SimNode &From) const {
  const std::string Other = "log";
  return LogIsUp && !Cuts.contains(std::minmax(From.DataCentre, Other));
}

/// Random delays also reorder messages.
core::Microseconds Simulation::delay(const SimNode &A, const SimNode &B) {
  const core::Microseconds Base =
      A.Region == B.Region ? LocalDelay : RegionDelay;
  return Base + core::Microseconds(Rng.below(Base.count()));
}

void Simulation::send(SimNode &From, const std::string &To,
                      const wire::ControlMessage &Message) {
  const auto Found = Nodes.find(To);
  if (Found == Nodes.end() || !connected(From, Found->second))
    return;
  // Each message passes through the codec, so that scenarios test it as well.
  const core::Result<std::string> Encoded = wire::encode(Message);
  const core::Result<wire::ControlMessage> Decoded =
      wire::decode(core::value(Encoded));
  if (!core::ok(Decoded) || core::value(Decoded) != Message)
    Violations.push_back(
        fmt::format("codec changed a message of kind {}", Message.index()));
  const int Copies = Rng.unit() < Loss ? 0 : Rng.unit() < Duplicates ? 2 : 1;
  Bytes += core::value(Encoded).size() + 4;
  for (int I = 0; I < Copies; ++I)
    at(Clock + delay(From, Found->second),
       [this, To, Name = From.Name, Message] { deliver(To, Name, Message); });
}

void Simulation::deliver(const std::string &To, const std::string &From,
                         const wire::ControlMessage &Message) {
  SimNode &N = Nodes.at(To);
  if (!N.Up || !connected(N, Nodes.at(From)))
    return;
  if (N.Paused)
    N.DeferredMessages.emplace_back(From, Message);
  else
    handle(N, From, Message);
}

void Simulation::handle(SimNode &N, const std::string &From,
                        const wire::ControlMessage &Payload) {
  const decision::Peer Sender{core::NodeId(From), From};
  std::visit(core::Overloaded{
                 [&](const distribution::RecordBatch &Message) {
                   step(N, distribution::Event(
                               distribution::RecordsReceived{Sender, Message}));
                 },
                 [&](const distribution::RecordsRequest &Message) {
                   step(N, distribution::Event(distribution::RecordsRequested{
                               Sender, Message}));
                 },
                 [&](const distribution::Snapshot &Message) {
                   step(N, distribution::Event(distribution::SnapshotReceived{
                               Sender, Message}));
                 },
                 [&](const auto &Message) {
                   if constexpr (std::is_constructible_v<membership::Message,
                                                         decltype(Message)>)
                     step(N, membership::Event(
                                 membership::MessageReceived{Sender, Message}));
                 }},
             Payload);
}

void Simulation::step(SimNode &N, const membership::Event &Event) {
  auto Next = membership::reduce(std::move(N.Membership), Event, instant());
  N.Membership = std::move(Next.NextState);
  for (const membership::Effect &Effect : Next.EmittedEffects)
    runEffect(N, Effect);
}

void Simulation::step(SimNode &N, const distribution::Event &Event) {
  const decision::Position Before = N.Distribution.ConfigPosition;
  auto Next = distribution::reduce(std::move(N.Distribution), Event, instant());
  N.Distribution = std::move(Next.NextState);
  const decision::Position &After = N.Distribution.ConfigPosition;
  if (After.Version < Before.Version || After.NextOffset < Before.NextOffset)
    Violations.push_back(fmt::format("lower version at {}", N.Name));
  if (N.Distribution.Ready) {
    if (After.Version < N.VersionInForce)
      Violations.push_back(fmt::format("lower version in force at {}", N.Name));
    N.VersionInForce = std::max(N.VersionInForce, After.Version);
  }
  for (const distribution::Effect &Effect : Next.EmittedEffects)
    runEffect(N, Effect);
  if (After != Before)
    step(N, membership::Event(
                membership::OwnPositionChanged{N.Distribution.ConfigPosition}));
}

void Simulation::step(SimNode &N, const lease::Event &Event) {
  auto Next = lease::reduce(std::move(N.Lease), Event, instant());
  N.Lease = std::move(Next.NextState);
  for (const lease::Effect &Effect : Next.EmittedEffects)
    runEffect(N, Effect);
}

void Simulation::runEffect(SimNode &N, const membership::Effect &Effect) {
  std::visit(
      core::Overloaded{
          [&](const membership::SendMessage &E) {
            send(N, E.To, widened<wire::ControlMessage>(E.Payload));
          },
          [&](const membership::EndpointsChanged &E) {
            std::vector<distribution::TreeMember> Live;
            for (const membership::Member &M : E.LiveMembers)
              Live.push_back({{M.Node, M.ControlAddress},
                              M.Status == membership::MemberStatus::Suspect});
            step(N, distribution::Event(distribution::MembersChanged{Live}));
          },
          [&](const membership::PositionReported &E) {
            step(N, distribution::Event(distribution::PeerPositionReported{
                        E.From, E.ConfigPosition}));
          },
          [&](const observe::LogEvent &E) { Events.insert(E.Id); },
          [](const membership::MemberFailed &) {}},
      Effect);
}

void Simulation::runEffect(SimNode &N, const distribution::Effect &Effect) {
  std::visit(
      core::Overloaded{
          [&](const distribution::ReadLog &E) {
            readLog(N, E.Offset, E.LongPoll);
          },
          [&](const distribution::CheckLogEnd &E) { checkLogEnd(N, E.Offset); },
          [&](const distribution::RequestLogEnd &E) {
            send(N, E.To, E.Request);
          },
          [&](const distribution::SendRecords &E) { send(N, E.To, E.Batch); },
          [&](const distribution::RequestRecords &E) {
            send(N, E.To, E.Request);
          },
          [&](const distribution::SendSnapshot &E) {
            send(N, E.To, E.Payload);
          },
          [&](const distribution::StateAdopted &E) { onStateAdopted(N, E); },
          [&](const distribution::ReadyChanged &E) {
            step(N,
                 membership::Event(membership::OwnReadinessChanged{E.Ready}));
          },
          [&](const observe::LogEvent &E) { Events.insert(E.Id); }},
      Effect);
}

void Simulation::runEffect(SimNode &N, const lease::Effect &Effect) {
  std::visit(
      core::Overloaded{[&](const lease::AppendRenewal &E) {
                         append(N, [this, E] { LeaseLog.push_back(E.Record); });
                       },
                       [&](const lease::AppendClaim &E) {
                         append(N, [this, &N, E,
                                    Writer = N.Lease.Local.Writer.value(),
                                    Number = ++N.Claims] {
                           Log.push_back(claimRecord(Writer, Number, N.Name,
                                                     E.NewEpoch.value()));
                         });
                       },
                       [&](const observe::LogEvent &E) { Events.insert(E.Id); },
                       [](const auto &) {}},
      Effect);
}

/// Checks that all nodes have the same digest at the same offset, which detects
/// partial or different states.
void Simulation::onStateAdopted(SimNode &N,
                                const distribution::StateAdopted &Adopted) {
  const auto [Known, New] = Digests.emplace(Adopted.ConfigPosition.NextOffset,
                                            Adopted.ConfigPosition.StateDigest);
  if (Known->second != Adopted.ConfigPosition.StateDigest)
    Violations.push_back(fmt::format(
        "state digest at {} differs from the one of another node", N.Name));
  if (Adopted.Records.empty())
    step(N, lease::Event(lease::EpochAdopted{Adopted.State->LeaseHolder,
                                             Adopted.State->CurrentEpoch}));
  for (const distribution::AppliedRecord &Applied : Adopted.Records) {
    if (!Applied.Record ||
        !std::holds_alternative<config::Recorded>(Applied.Outcome))
      continue;
    if (const auto *Claim =
            std::get_if<config::LeaseClaimed>(&Applied.Record->Body))
      step(N, lease::Event(lease::ClaimFolded{Applied.Record->Writer,
                                              Claim->Holder, Claim->NewEpoch}));
  }
}

void Simulation::append(SimNode &N, std::function<void()> Effect) {
  at(Clock + LogDelay + delay(N, N), [this, &N, Effect = std::move(Effect)] {
    if (logReachable(N))
      Effect();
  });
}

void Simulation::readLog(SimNode &N, core::LogOffset From, bool LongPoll) {
  const std::uint64_t Process = N.Process;
  at(Clock + LogDelay, [this, &N, From, LongPoll, Process] {
    if (N.Process != Process)
      return;
    if (!logReachable(N) || N.Paused) {
      step(N, distribution::Event(distribution::LogUnavailable{}));
      return;
    }
    if (From.value() < LogHead) {
      step(N, distribution::Event(
                  distribution::LogTrimmed{core::LogOffset(LogHead)}));
      return;
    }
    distribution::LogRead Read;
    Read.EndOffset = core::LogOffset(Log.size());
    for (std::size_t I = From.value();
         I < Log.size() && Read.Records.size() < LogPage; ++I)
      Read.Records.push_back({core::LogOffset(I), Log[I]});
    if (Read.Records.empty() && LongPoll && Rng.below(400) != 0)
      readLog(N, From, true);
    else
      step(N, distribution::Event(Read));
  });
}

void Simulation::checkLogEnd(SimNode &N, core::LogOffset From) {
  const std::uint64_t Process = N.Process;
  at(Clock + LogDelay, [this, &N, From, Process] {
    if (N.Process != Process)
      return;
    using enum distribution::LogEndStatus;
    const bool Read = logReachable(N) && !N.Paused && From.value() >= LogHead;
    const distribution::LogEndStatus Found = !Read ? Unavailable
                                             : From.value() >= Log.size()
                                                 ? Reached
                                                 : NotReached;
    step(N, distribution::Event(distribution::LogEndChecked{Found, From}));
  });
}

void Simulation::readLease(SimNode &N) {
  const TimePoint Sent = Clock;
  const std::uint64_t Process = N.Process;
  at(Clock + LogDelay, [this, &N, Sent, Process] {
    if (N.Process != Process || !logReachable(N) || N.Paused)
      return;
    lease::LeaseRead Read{Sent, {}};
    while (N.LeaseRecordsRead < LeaseLog.size())
      Read.Records.push_back(LeaseLog[N.LeaseRecordsRead++]);
    step(N, lease::Event(Read));
  });
}

} // namespace filbertvane::scenario
