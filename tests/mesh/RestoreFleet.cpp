#include "RestoreFleet.h"
#include <algorithm>

namespace meshbench {

namespace {

constexpr milliseconds Step{10};
constexpr milliseconds TickPeriod{50};
constexpr milliseconds CopyPeriod{200};
constexpr milliseconds ReadGap{700};
constexpr milliseconds RetryPeriod{300};
/// Bounds of the platform: how long a node and the store have to be
/// undisturbed, and when a change has to be in force.
constexpr milliseconds StableTime{3000};
constexpr milliseconds ConfigApply{2500};

} // namespace

RestoreFleet::RestoreFleet(std::uint64_t Seed, std::size_t Count,
                           std::size_t Centres)
    : Nodes(Count), Source(Seed) {
  configure();
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Nodes[Index].Name = fmt::format("n{}", Index);
    Nodes[Index].Centre = Index % Centres;
    start(Index);
  }
}

void RestoreFleet::configure() {
  if (Away)
    return;
  Written["config"] = std::to_string(++Version);
  Operators.write("config", Written["config"]);
  Acknowledged.emplace_back(Now, Version);
}

void RestoreFleet::evacuate(bool Active) {
  if (Away)
    return;
  Written["evacuate/z1"] = Active ? "{}" : "";
  Operators.write("evacuate/z1", Written["evacuate/z1"]);
}

void RestoreFleet::move(const std::string &To) {
  if (Away)
    return;
  Written["rollout/shop"] = To;
  Operators.write("rollout/shop", To);
}

void RestoreFleet::setStoreAway(bool Now) {
  Away = Now;
  StoreDisturbedAt = this->Now;
}

void RestoreFleet::restore(milliseconds Age, milliseconds RewriteAfter) {
  Copy Older;
  for (const Copy &Each : Copies)
    if (Each.TakenAt <= Now - Age)
      Older = Each;
  // Copies of a time that is gone are no longer taken.
  std::erase_if(Copies,
                [&](const Copy &Each) { return Each.TakenAt > Older.TakenAt; });
  Operators.restore(Older.Records);
  Hosts = Older.Hosts;
  MoveEnds = Older.MoveEnds;
  setStoreAway(false);
  const std::uint64_t Era = Operators.era();
  after(RewriteAfter, [this, Era] {
    if (Era != Operators.era() || Away)
      return;
    for (const auto &[Key, Value] : Written)
      Operators.write(Key, Value);
  });
}

void RestoreFleet::kill(std::size_t Index) {
  Nodes[Index].State.reset();
  Nodes[Index].DisturbedAt = Now;
}

void RestoreFleet::start(std::size_t Index) {
  Node &Starting = Nodes[Index];
  if (Starting.State)
    return;
  MeshSettings Settings = Bench::settings(Starting.Name);
  Settings.Incarnation = core::Incarnation(
      static_cast<std::uint64_t>(Now.time_since_epoch().count()));
  Settings.Address = Starting.Name;
  Settings.DataCentre =
      core::DataCentreId(fmt::format("dc{}", Starting.Centre));
  Settings.RandomSeed = Source.next();
  Settings.ConfigurationTime = ConfigApply;
  Node Fresh;
  Fresh.Name = Starting.Name;
  Fresh.Centre = Starting.Centre;
  Fresh.CutFromStore = Starting.CutFromStore;
  Fresh.State.emplace(std::move(Settings));
  Fresh.ReadAt = Now + milliseconds(Source.below(50));
  Fresh.PublishAt = Now + milliseconds(500);
  Fresh.DisturbedAt = Now;
  Starting = std::move(Fresh);
}

void RestoreFleet::freeze(std::size_t Index, milliseconds Time) {
  Nodes[Index].FrozenUntil = std::max(Nodes[Index].FrozenUntil, Now + Time);
  Nodes[Index].DisturbedAt = Nodes[Index].FrozenUntil;
}

void RestoreFleet::cutFromStore(std::size_t Index, bool Cut) {
  Nodes[Index].CutFromStore = Cut;
  Nodes[Index].DisturbedAt = std::max(Nodes[Index].DisturbedAt, Now);
}

void RestoreFleet::run(milliseconds Time) {
  const core::TimePoint End = Now + Time;
  while (Now < End && Broken.empty())
    step();
}

void RestoreFleet::step() {
  Now += Step;
  std::vector<Scheduled> Due;
  std::erase_if(Queue, [&](Scheduled &Each) {
    if (Each.At > Now)
      return false;
    Due.push_back(std::move(Each));
    return true;
  });
  for (const Scheduled &Each : Due)
    Each.Run();
  const auto Passed = Now.time_since_epoch();
  if (!Away && Passed % CopyPeriod == core::Microseconds(0))
    Copies.push_back({Now, Operators.size(), Hosts, MoveEnds});
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    if (!Nodes[Index].runs(Now))
      continue;
    if ((Passed + Step * (Index % 5)) % TickPeriod == core::Microseconds(0))
      deliver(Index, request::Tick{});
    if (Nodes[Index].Follows && Now >= Nodes[Index].ReadAt)
      read(Index);
    if (!Nodes[Index].Published && Now >= Nodes[Index].PublishAt)
      publish(Index);
  }
  check();
}

bool RestoreFleet::callStore(std::size_t Index) {
  Node &Caller = Nodes[Index];
  if (Away || Caller.CutFromStore)
    return false;
  const bool Restored = Caller.KnownEra && *Caller.KnownEra < Operators.era();
  Caller.KnownEra = Operators.era();
  if (Restored)
    deliver(Index, StoreRestored{core::StoreEra(Operators.era())});
  return true;
}

void RestoreFleet::read(std::size_t Index) {
  Node &Reader = Nodes[Index];
  const bool Answered = callStore(Index);
  deliver(Index, StoreReachabilityChanged{Answered});
  if (!Answered) {
    Reader.ReadAt = Now + RetryPeriod;
    return;
  }
  const core::StoreEra Era(Operators.era());
  if (Reader.HasBase && Reader.Records.position().era() == Era) {
    const RecordSet::Changes Changes = Operators.readInto(Reader.Records);
    Reader.ReadAt = Now + (Changes.empty() ? Step : ReadGap);
    return apply(Index, Changes);
  }
  Reader.HasBase = false;
  if (Now < Reader.ListNotBefore) {
    Reader.ReadAt = Reader.ListNotBefore;
    return;
  }
  ++ListReads;
  Reader.HasBase = true;
  Reader.ReadAt = Now + Step;
  apply(Index, Reader.Records.applyList(Operators.list()));
}

void RestoreFleet::apply(std::size_t Index, const RecordSet::Changes &Changes) {
  Node &Applying = Nodes[Index];
  for (const RecordSet::Change &Each : Changes) {
    const OperatorRecord &Record = Each.Record;
    if (Record.Key == "config") {
      deliver(Index, RoutingLoaded{std::make_shared<const config::RoutingTable>(
                         shopRouting(std::stoull(Record.Value)))});
    } else if (Record.Key == "evacuate/z1") {
      deliver(Index,
              EvacuationOrdered{core::DataCentreId("z1"), !Record.Value.empty(),
                                Record.Position, Each.Renumbered});
    } else {
      MoveOrdered Order;
      Order.Service = core::ServiceName("shop");
      Order.NewVersion = core::TargetVersion(Record.Value);
      Order.Duration = milliseconds(10000);
      Order.OrderPosition = Record.Position;
      Order.SeenAt = Each.SeenAt;
      Order.Renumbered = Each.Renumbered;
      Order.FromHistory =
          Record.Position.era() != Applying.Records.position().era();
      deliver(Index, Order);
    }
  }
  deliver(Index, PositionReached{Applying.Records.position(),
                                 Applying.Records.lostCount(),
                                 Applying.Records.lostDigest()});
}

void RestoreFleet::publish(std::size_t Index) {
  Node &Publisher = Nodes[Index];
  Publisher.PublishAt = Now + milliseconds(2000);
  if (!callStore(Index))
    return;
  Publisher.Published = true;
  Hosts[Publisher.Name] = makeHostReport(*Publisher.State, Now);
  StoredReportsRead Stored;
  for (const auto &[Name, Report] : Hosts)
    Stored.Reports.push_back(Report);
  deliver(Index, Stored);
}

void RestoreFleet::handle(std::size_t Index, const RecoverFromRestore &Plan) {
  Node &Restored = Nodes[Index];
  if (Restored.Records.position().era() < Plan.Era) {
    Restored.HasBase = false;
    Restored.ListNotBefore = Plan.ReadListAt;
    Restored.ReadAt = Plan.ReadListAt;
  }
  Restored.Published = false;
  Restored.PublishAt = Plan.PublishAt;
}

void RestoreFleet::handle(std::size_t, const SendReport &Report) {
  for (const std::string &Address : Report.Addresses) {
    const std::size_t Receiver = indexOf(Address);
    after(Step, [this, Receiver, Sent = Report.Report] {
      if (Nodes[Receiver].runs(Now))
        deliver(Receiver, ReportReceived{Sent});
    });
  }
}

void RestoreFleet::handle(std::size_t Index, const FetchRecords &Fetch) {
  const std::size_t From = indexOf(Fetch.PeerAddress);
  after(Step, [this, Index, From] {
    if (!Nodes[From].runs(Now))
      return;
    after(Step, [this, Index, Sent = Nodes[From].Records.entries()] {
      Node &Fetching = Nodes[Index];
      if (!Fetching.runs(Now))
        return;
      if (isLater(Sent.Position, Fetching.Records.position()))
        Fetching.HasBase = true;
      apply(Index, Fetching.Records.merge(Sent));
    });
  });
}

void RestoreFleet::handle(std::size_t Index, const WriteMove &Write) {
  if (!callStore(Index))
    return;
  const std::string Service = Write.Service.value();
  const auto Found = MoveEnds.find(Service);
  const bool Stands =
      Found != MoveEnds.end() && Found->second.NewVersion == Write.NewVersion;
  if (!Stands && Write.Phase >= MovePhase::Completed)
    MoveEnds.insert_or_assign(Service, Write);
  const MovePhase Phase = Stands ? Found->second.Phase : Write.Phase;
  if (Phase >= MovePhase::Completed)
    deliver(Index, MoveStateRead{Write.Service, Write.NewVersion, Phase});
}

void RestoreFleet::deliver(std::size_t Index, const Event &What) {
  for (const Effect &Each : reduce(*Nodes[Index].State, What, Now))
    std::visit([&](const auto &Do) { handle(Index, Do); }, Each);
}

bool RestoreFleet::isInTouch(const Node &Which) const {
  return Which.runs(Now) && !Which.CutFromStore && !Away &&
         Now - Which.DisturbedAt >= StableTime &&
         Now - StoreDisturbedAt >= StableTime;
}

std::uint64_t RestoreFleet::dueVersion() const {
  std::uint64_t Due = 0;
  for (const auto &[At, Number] : Acknowledged)
    if (Now - At >= ConfigApply)
      Due = Number;
  return Due;
}

void RestoreFleet::check() {
  for (Node &Each : Nodes) {
    if (!Each.runs(Now))
      continue;
    if (Each.version() < Each.LastVersion)
      Broken =
          fmt::format("{} went back to version {}", Each.Name, Each.version());
    Each.LastVersion = Each.version();
    if (isInTouch(Each) && Each.version() < dueVersion())
      Broken = fmt::format("{} has version {}, due is {} at {} ms", Each.Name,
                           Each.version(), dueVersion(),
                           (Now - at(100000)) / milliseconds(1));
  }
}

} // namespace meshbench
