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
  return std::visit([](const auto &One) { return To(One); }, Narrow);
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

/// Random delays also cross messages with each other.
core::Microseconds Simulation::delay(const SimNode &A, const SimNode &B) {
  const core::Microseconds Base =
      A.Region == B.Region ? LocalDelay : RegionDelay;
  return Base + core::Microseconds(Rng.below(Base.count()));
}

void Simulation::send(SimNode &From, const std::string &To,
                      const wire::ControlMessage &What) {
  const auto Found = Nodes.find(To);
  if (Found == Nodes.end() || !connected(From, Found->second))
    return;
  // The real codec takes part in each scenario.
  const core::Result<std::string> Encoded = wire::encode(What);
  const core::Result<wire::ControlMessage> Decoded =
      wire::decode(core::value(Encoded));
  if (!core::ok(Decoded) || core::value(Decoded) != What)
    Violations.push_back(fmt::format("codec: {}", What.index()));
  const int Copies = Rng.unit() < Loss ? 0 : Rng.unit() < Duplicates ? 2 : 1;
  Bytes += core::value(Encoded).size() + 4;
  for (int I = 0; I < Copies; ++I)
    at(Clock + delay(From, Found->second),
       [this, To, Name = From.Name, What] { deliver(To, Name, What); });
}

void Simulation::deliver(const std::string &To, const std::string &From,
                         const wire::ControlMessage &What) {
  SimNode &N = Nodes.at(To);
  if (!N.Up || !connected(N, Nodes.at(From)))
    return;
  if (N.Paused)
    N.DeferredMessages.emplace_back(From, What);
  else
    handle(N, From, What);
}

void Simulation::handle(SimNode &N, const std::string &From,
                        const wire::ControlMessage &What) {
  const decision::Peer Sender{core::NodeId(From), From};
  std::visit(core::Overloaded{
                 [&](const distribution::RecordBatch &One) {
                   step(N, distribution::Event(
                               distribution::RecordsReceived{Sender, One}));
                 },
                 [&](const distribution::RecordsRequest &One) {
                   step(N, distribution::Event(
                               distribution::RecordsRequested{Sender, One}));
                 },
                 [&](const distribution::Snapshot &One) {
                   step(N, distribution::Event(
                               distribution::SnapshotReceived{Sender, One}));
                 },
                 [&](const auto &One) {
                   if constexpr (std::is_constructible_v<membership::Message,
                                                         decltype(One)>)
                     step(N, membership::Event(
                                 membership::MessageReceived{Sender, One}));
                 }},
             What);
}

void Simulation::step(SimNode &N, const membership::Event &What) {
  auto Next = membership::reduce(std::move(N.Membership), What, instant());
  N.Membership = std::move(Next.NextState);
  for (const membership::Effect &One : Next.EmittedEffects)
    runEffect(N, One);
}

void Simulation::step(SimNode &N, const distribution::Event &What) {
  const decision::Position Before = N.Distribution.ConfigPosition;
  auto Next = distribution::reduce(std::move(N.Distribution), What, instant());
  N.Distribution = std::move(Next.NextState);
  const decision::Position &After = N.Distribution.ConfigPosition;
  if (After.Version < Before.Version || After.NextOffset < Before.NextOffset)
    Violations.push_back(fmt::format("lower version at {}", N.Name));
  if (N.Distribution.Ready) {
    if (After.Version < N.VersionInForce)
      Violations.push_back(fmt::format("lower version in force at {}", N.Name));
    N.VersionInForce = std::max(N.VersionInForce, After.Version);
  }
  for (const distribution::Effect &One : Next.EmittedEffects)
    runEffect(N, One);
  if (After != Before)
    step(N, membership::Event(
                membership::OwnPositionChanged{N.Distribution.ConfigPosition}));
}

void Simulation::step(SimNode &N, const lease::Event &What) {
  auto Next = lease::reduce(std::move(N.Lease), What, instant());
  N.Lease = std::move(Next.NextState);
  for (const lease::Effect &One : Next.EmittedEffects)
    runEffect(N, One);
}

void Simulation::runEffect(SimNode &N, const membership::Effect &What) {
  std::visit(
      core::Overloaded{
          [&](const membership::SendMessage &One) {
            send(N, One.To, widened<wire::ControlMessage>(One.Payload));
          },
          [&](const membership::EndpointsChanged &One) {
            std::vector<distribution::TreeMember> Live;
            for (const membership::Member &M : One.LiveMembers)
              Live.push_back({{M.Node, M.ControlAddress},
                              M.Status == membership::MemberStatus::Suspect});
            step(N, distribution::Event(distribution::MembersChanged{Live}));
          },
          [&](const membership::PositionReported &One) {
            step(N, distribution::Event(distribution::PeerPositionReported{
                        One.From, One.ConfigPosition}));
          },
          [&](const observe::LogEvent &One) { Events.insert(One.Id); },
          [](const membership::MemberFailed &) {}},
      What);
}

void Simulation::runEffect(SimNode &N, const distribution::Effect &What) {
  std::visit(core::Overloaded{
                 [&](const distribution::ReadLog &One) {
                   readLog(N, One.Offset, One.LongPoll);
                 },
                 [&](const distribution::CheckLogEnd &One) {
                   checkEnd(N, One.Offset);
                 },
                 [&](const distribution::RequestLogEnd &One) {
                   send(N, One.To, One.Request);
                 },
                 [&](const distribution::SendRecords &One) {
                   send(N, One.To, One.Batch);
                 },
                 [&](const distribution::RequestRecords &One) {
                   send(N, One.To, One.Request);
                 },
                 [&](const distribution::SendSnapshot &One) {
                   send(N, One.To, One.Payload);
                 },
                 [&](const distribution::StateAdopted &One) {
                   onStateAdopted(N, One);
                 },
                 [&](const distribution::ReadyChanged &One) {
                   step(N, membership::Event(
                               membership::OwnReadinessChanged{One.Ready}));
                 },
                 [&](const observe::LogEvent &One) { Events.insert(One.Id); }},
             What);
}

void Simulation::runEffect(SimNode &N, const lease::Effect &What) {
  std::visit(core::Overloaded{
                 [&](const lease::AppendRenewal &One) {
                   append(N, [this, One] { LeaseLog.push_back(One.Record); });
                 },
                 [&](const lease::AppendClaim &One) {
                   append(N,
                          [this, &N, One, Writer = N.Lease.Local.Writer.value(),
                           Number = ++N.Claims] {
                            Log.push_back(claimRecord(Writer, Number, N.Name,
                                                      One.NewEpoch.value()));
                          });
                 },
                 [&](const observe::LogEvent &One) { Events.insert(One.Id); },
                 [](const auto &) {}},
             What);
}

/// All readers of one offset must have the same digest: a partial or different
/// state shows here.
void Simulation::onStateAdopted(SimNode &N,
                                const distribution::StateAdopted &What) {
  const auto [Known, New] = Digests.emplace(What.ConfigPosition.NextOffset,
                                            What.ConfigPosition.StateDigest);
  if (Known->second != What.ConfigPosition.StateDigest)
    Violations.push_back(fmt::format("readers disagree at {}", N.Name));
  if (What.Records.empty())
    step(N, lease::Event(lease::EpochAdopted{What.State->LeaseHolder,
                                             What.State->CurrentEpoch}));
  for (const distribution::AppliedRecord &One : What.Records) {
    if (!One.Record || !std::holds_alternative<config::Recorded>(One.Outcome))
      continue;
    if (const auto *Claim =
            std::get_if<config::LeaseClaimed>(&One.Record->Body))
      step(N, lease::Event(lease::ClaimFolded{One.Record->Writer, Claim->Holder,
                                              Claim->NewEpoch}));
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

void Simulation::checkEnd(SimNode &N, core::LogOffset From) {
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
