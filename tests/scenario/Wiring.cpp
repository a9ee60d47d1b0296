#include "FakeFold.h"
#include "World.h"
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

bool World::connected(const SimNode &A, const SimNode &B) const {
  return !Cuts.contains(std::minmax(A.DataCentre, B.DataCentre)) &&
         !Cuts.contains(std::minmax(A.Name, B.Name));
}

bool World::logReachable(const SimNode &From) const {
  const std::string Other = "log";
  return LogIsUp && !Cuts.contains(std::minmax(From.DataCentre, Other));
}

/// Random delays also cross messages with each other.
core::Microseconds World::delay(const SimNode &A, const SimNode &B) {
  const core::Microseconds Base =
      A.Region == B.Region ? LocalDelay : RegionDelay;
  return Base + core::Microseconds(Chance.below(Base.count()));
}

void World::send(SimNode &From, const std::string &To,
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
  const int Copies = Chance.unit() < Loss         ? 0
                     : Chance.unit() < Duplicates ? 2
                                                  : 1;
  Bytes += core::value(Encoded).size() + 4;
  for (int I = 0; I < Copies; ++I)
    at(Clock + delay(From, Found->second),
       [this, To, Name = From.Name, What] { deliver(To, Name, What); });
}

void World::deliver(const std::string &To, const std::string &From,
                    const wire::ControlMessage &What) {
  SimNode &N = Nodes.at(To);
  if (!N.Up || !connected(N, Nodes.at(From)))
    return;
  if (N.Paused)
    N.Held.emplace_back(From, What);
  else
    handle(N, From, What);
}

void World::handle(SimNode &N, const std::string &From,
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

void World::step(SimNode &N, const membership::Event &What) {
  auto Next = membership::reduce(std::move(N.Members), What, instant());
  N.Members = std::move(Next.Next);
  for (const membership::Effect &One : Next.Out)
    run(N, One);
}

void World::step(SimNode &N, const distribution::Event &What) {
  const decision::Position Before = N.Config.At;
  auto Next = distribution::reduce(std::move(N.Config), What, instant());
  N.Config = std::move(Next.Next);
  const decision::Position &After = N.Config.At;
  if (After.Version < Before.Version || After.Next < Before.Next)
    Violations.push_back(fmt::format("lower version at {}", N.Name));
  if (N.Config.Ready) {
    if (After.Version < N.InForce)
      Violations.push_back(fmt::format("lower version in force at {}", N.Name));
    N.InForce = std::max(N.InForce, After.Version);
  }
  for (const distribution::Effect &One : Next.Out)
    run(N, One);
  if (After != Before)
    step(N, membership::Event(membership::OwnPositionChanged{N.Config.At}));
}

void World::step(SimNode &N, const lease::Event &What) {
  auto Next = lease::reduce(std::move(N.Lease), What, instant());
  N.Lease = std::move(Next.Next);
  for (const lease::Effect &One : Next.Out)
    run(N, One);
}

void World::run(SimNode &N, const membership::Effect &What) {
  std::visit(
      core::Overloaded{
          [&](const membership::SendMessage &One) {
            send(N, One.To, widened<wire::ControlMessage>(One.What));
          },
          [&](const membership::EndpointsChanged &One) {
            std::vector<distribution::TreeMember> Live;
            for (const membership::Member &M : One.Live)
              Live.push_back({{M.Node, M.ControlAddress},
                              M.Status == membership::MemberStatus::Suspect});
            step(N, distribution::Event(distribution::MembersChanged{Live}));
          },
          [&](const membership::PositionReported &One) {
            step(N, distribution::Event(
                        distribution::PositionHeard{One.From, One.At}));
          },
          [&](const observe::LogEvent &One) { Events.insert(One.Id); },
          [](const membership::MemberFailed &) {}},
      What);
}

void World::run(SimNode &N, const distribution::Effect &What) {
  std::visit(
      core::Overloaded{
          [&](const distribution::ReadLog &One) {
            readLog(N, One.From, One.LongPoll);
          },
          [&](const distribution::CheckEnd &One) { checkEnd(N, One.From); },
          [&](const distribution::RequestEnd &One) {
            send(N, One.To, One.What);
          },
          [&](const distribution::SendRecords &One) {
            send(N, One.To, One.Batch);
          },
          [&](const distribution::RequestRecords &One) {
            send(N, One.To, One.What);
          },
          [&](const distribution::SendSnapshot &One) {
            send(N, One.To, One.What);
          },
          [&](const distribution::StateAdopted &One) { adopted(N, One); },
          [&](const distribution::ReadyChanged &One) {
            step(N,
                 membership::Event(membership::OwnReadinessChanged{One.Ready}));
          },
          [&](const observe::LogEvent &One) { Events.insert(One.Id); }},
      What);
}

void World::run(SimNode &N, const lease::Effect &What) {
  std::visit(core::Overloaded{
                 [&](const lease::AppendRenewal &One) {
                   append(N, [this, One] { LeaseLog.push_back(One.What); });
                 },
                 [&](const lease::AppendClaim &One) {
                   append(N,
                          [this, &N, One, Writer = N.Lease.Own.Writer.value(),
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
void World::adopted(SimNode &N, const distribution::StateAdopted &What) {
  const auto [Known, New] = Digests.emplace(What.At.Next, What.At.StateDigest);
  if (Known->second != What.At.StateDigest)
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

void World::append(SimNode &N, std::function<void()> Effect) {
  at(Clock + LogDelay + delay(N, N), [this, &N, Effect = std::move(Effect)] {
    if (logReachable(N))
      Effect();
  });
}

void World::readLog(SimNode &N, core::LogOffset From, bool LongPoll) {
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
    Read.End = core::LogOffset(Log.size());
    for (std::size_t I = From.value();
         I < Log.size() && Read.Records.size() < LogPage; ++I)
      Read.Records.push_back({core::LogOffset(I), Log[I]});
    if (Read.Records.empty() && LongPoll && Chance.below(400) != 0)
      readLog(N, From, true);
    else
      step(N, distribution::Event(Read));
  });
}

void World::checkEnd(SimNode &N, core::LogOffset From) {
  const std::uint64_t Process = N.Process;
  at(Clock + LogDelay, [this, &N, From, Process] {
    if (N.Process != Process)
      return;
    using enum distribution::LogEnd;
    const bool Read = logReachable(N) && !N.Paused && From.value() >= LogHead;
    const distribution::LogEnd Found = !Read                        ? Unread
                                       : From.value() >= Log.size() ? Reached
                                                                    : Further;
    step(N, distribution::Event(distribution::EndChecked{Found, From}));
  });
}

void World::readLease(SimNode &N) {
  const TimePoint Sent = Clock;
  const std::uint64_t Process = N.Process;
  at(Clock + LogDelay, [this, &N, Sent, Process] {
    if (N.Process != Process || !logReachable(N) || N.Paused)
      return;
    lease::LeaseRead Read{Sent, {}};
    while (N.LeaseRead < LeaseLog.size())
      Read.Records.push_back(LeaseLog[N.LeaseRead++]);
    step(N, lease::Event(Read));
  });
}

} // namespace filbertvane::scenario
