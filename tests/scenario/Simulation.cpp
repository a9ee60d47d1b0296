#include "Simulation.h"
#include "FakeFold.h"
#include "filbertvane/wire/ControlCodec.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::scenario {

namespace membership = decision::membership;
namespace distribution = decision::distribution;
namespace lease = decision::lease;

namespace {

membership::Settings memberSettings(const SimNode &N, std::string Seed) {
  return {core::NodeId(N.Name),
          core::DataCentreId(N.DataCentre),
          N.Name,
          N.Name + ":peer",
          {std::move(Seed)}};
}

} // namespace

void Simulation::at(TimePoint Time, std::function<void()> Action) {
  Queue.push({Time, Order++, std::move(Action)});
}

void Simulation::runUntil(TimePoint End) {
  while (!Queue.empty() && Queue.top().Time <= End) {
    const ScheduledAction Next = Queue.top();
    Queue.pop();
    Clock = Next.Time;
    Next.Action();
  }
  Clock = End;
}

core::Instant Simulation::instant() const {
  const auto Wall = std::chrono::duration_cast<Milliseconds>(
      Clock.time_since_epoch() + core::Seconds(1000));
  return {Clock, core::WallTime(Wall)};
}

void Simulation::build(std::size_t DataCentres, std::size_t NodesEach) {
  Rng = core::Random(Seed);
  std::size_t Number = 1;
  for (std::size_t D = 1; D <= DataCentres; ++D)
    for (std::size_t I = 0; I < NodesEach; ++I, ++Number) {
      SimNode N;
      N.Name = fmt::format("n{}", Number);
      N.DataCentre = fmt::format("d{}", D);
      N.Region = fmt::format("r{}", (D + 1) / 2);
      Nodes[N.Name] = N;
      at(Clock, [this, Name = N.Name] { start(Name); });
    }
}

std::vector<std::string>
Simulation::nodesOf(const std::string &DataCentre) const {
  std::vector<std::string> Names;
  for (const auto &[Name, N] : Nodes)
    if (DataCentre == "all" || N.DataCentre == DataCentre)
      Names.push_back(Name);
  return Names;
}

void Simulation::start(const std::string &Name) {
  SimNode &N = Nodes.at(Name);
  N.Up = true;
  N.Paused = false;
  ++N.Process;
  std::vector<std::string> Outside;
  std::string SeedNode;
  for (const auto &[Other, M] : Nodes) {
    if (M.DataCentre != N.DataCentre)
      Outside.push_back(Other);
    else if (Other != Name && (SeedNode.empty() || Rng.below(3) == 0))
      SeedNode = Other;
  }
  const core::Instant Now = instant();
  N.Membership =
      membership::initial(memberSettings(N, SeedNode),
                          membership::firstIncarnation(Now.Wall), Rng.next());
  N.Distribution = distribution::initial({{core::NodeId(Name), Name},
                                          core::DataCentreId(N.DataCentre),
                                          core::RegionId(N.Region),
                                          Outside,
                                          distribution::foldOf<FakeFold>()},
                                         Rng.next());
  const std::string Writer = fmt::format("{}/{}", Name, N.Process);
  N.Lease =
      lease::initial({core::NodeId(Name), core::WriterId(Writer)}, Rng.next());
  N.LeaseRecordsRead = 0;
  N.Claims = 0;
  step(N, distribution::Event(distribution::Started{}));
  step(N, membership::Event(membership::Started{}));
  tick(Name, N.Process);
}

void Simulation::kill(const std::string &Name) {
  Nodes.at(Name).Up = false;
  ++Nodes.at(Name).Process;
}

void Simulation::pause(const std::string &Name) {
  Nodes.at(Name).Paused = true;
}

void Simulation::resume(const std::string &Name) {
  SimNode &N = Nodes.at(Name);
  N.Paused = false;
  check(N);
  auto Deferred = std::move(N.DeferredMessages);
  N.DeferredMessages.clear();
  for (const auto &[From, Message] : Deferred)
    handle(N, From, Message);
}

void Simulation::cut(const std::string &A, const std::string &B) {
  Cuts.insert(std::minmax(A, B));
}

void Simulation::trimLog() { LogHead = Log.size() > 2 ? Log.size() - 2 : 0; }

void Simulation::publish(std::optional<std::uint64_t> Base) {
  config::FleetState State;
  for (std::size_t I = 0; I < Log.size(); ++I)
    State = FakeFold::apply(State, core::LogOffset(I), Log[I]).State;
  Log.push_back(
      sheetRecord(++Sequence, Base.value_or(State.SheetVersion.value())));
}

void Simulation::appendStep(std::uint64_t Epoch) {
  Log.push_back(stepRecord(++Sequence, Epoch));
}

void Simulation::appendSnapshot() {
  config::FleetState State;
  for (std::size_t I = 0; I < Log.size(); ++I)
    State = FakeFold::apply(State, core::LogOffset(I), Log[I]).State;
  Log.push_back(snapshotRecord(++Sequence, State));
}

core::ConfigVersion Simulation::logVersion() const {
  config::FleetState State;
  for (std::size_t I = 0; I < Log.size(); ++I)
    State = FakeFold::apply(State, core::LogOffset(I), Log[I]).State;
  return State.Version;
}

void Simulation::announce(const std::string &Name) {
  SimNode &N = Nodes.at(Name);
  membership::TargetAnnouncement Target;
  Target.Id = core::TargetId(Name + "/target");
  Target.Slots = 18;
  step(N, membership::Event(membership::OwnTargetChanged{Target}));
}

void Simulation::leave(const std::string &Name) {
  step(Nodes.at(Name), membership::Event(membership::OwnTargetLeaving{}));
}

void Simulation::drain(const std::string &Name) {
  step(Nodes.at(Name), membership::Event(membership::DrainStarted{}));
}

void Simulation::tick(const std::string &Name, std::uint64_t Process) {
  SimNode &N = Nodes.at(Name);
  if (N.Process != Process)
    return;
  at(Clock + membership::TickPeriod,
     [this, Name, Process] { tick(Name, Process); });
  if (N.Paused)
    return;
  check(N);
  step(N, membership::Event(membership::Tick{}));
  step(N, distribution::Event(distribution::Tick{}));
  const bool Lead =
      distribution::isLead(N.Distribution) && N.Distribution.Ready;
  step(N, lease::Event(lease::LeadChanged{Lead}));
  step(N, lease::Event(lease::Tick{}));
  // Simulates the exchange of summaries and the long poll of the lease stream.
  if (Rng.below(20) == 0)
    updateRemoteLeads(N);
  if (Lead && Rng.below(10) == 0)
    readLease(N);
}

void Simulation::updateRemoteLeads(SimNode &N) {
  std::vector<distribution::RemoteLead> Leads;
  for (const auto &[Name, M] : Nodes)
    if (M.Up && M.DataCentre != N.DataCentre &&
        distribution::isLead(M.Distribution) && connected(N, M))
      Leads.push_back({{core::NodeId(Name), Name},
                       core::DataCentreId(M.DataCentre),
                       core::RegionId(M.Region)});
  step(N, distribution::Event(distribution::RemoteLeadsChanged{Leads}));
}

/// Checks that at most one node may act as the coordinator.
void Simulation::check(SimNode &N) {
  if (!N.Up || N.Paused || !lease::holdsLease(N.Lease, Clock))
    return;
  for (const auto &[Name, M] : Nodes)
    if (Name != N.Name && M.Up && !M.Paused &&
        lease::holdsLease(M.Lease, Clock))
      Violations.push_back(
          fmt::format("two coordinators: {} and {}", N.Name, Name));
}

std::string Simulation::leadOf(const std::string &DataCentre) const {
  for (const auto &[Name, N] : Nodes)
    if (N.Up && N.DataCentre == DataCentre &&
        distribution::isLead(N.Distribution))
      return Name;
  return {};
}

std::string Simulation::coordinator() const {
  for (const auto &[Name, N] : Nodes)
    if (N.Up && !N.Paused && lease::holdsLease(N.Lease, Clock))
      return Name;
  return {};
}

bool Simulation::inForce(const std::string &Except) const {
  const core::ConfigVersion Newest = logVersion();
  return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Entry) {
    const SimNode &N = Entry.second;
    return !N.Up || N.DataCentre == Except ||
           (N.Distribution.Ready &&
            N.Distribution.ConfigPosition.Version == Newest);
  });
}

bool Simulation::ready(const std::string &DataCentre, bool Ready) const {
  return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Entry) {
    const SimNode &N = Entry.second;
    return !N.Up || (DataCentre != "all" && N.DataCentre != DataCentre) ||
           N.Distribution.Ready == Ready;
  });
}

bool Simulation::seesMembers(const std::string &DataCentre,
                             std::size_t Live) const {
  return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Entry) {
    const SimNode &N = Entry.second;
    if (!N.Up || N.DataCentre != DataCentre)
      return true;
    const auto Known = membership::liveMembers(N.Membership);
    return Known.size() == Live &&
           std::none_of(Known.begin(), Known.end(), [](const auto &M) {
             return M.Status == membership::MemberStatus::Suspect;
           });
  });
}

bool Simulation::targetGone(const std::string &Name) const {
  for (const auto &[Other, N] : Nodes) {
    if (!N.Up || N.DataCentre != Nodes.at(Name).DataCentre)
      continue;
    for (const membership::Member &M : membership::liveMembers(N.Membership))
      if (M.Node.value() == Name && M.Target && !M.Target->Leaving)
        return false;
  }
  return true;
}

} // namespace filbertvane::scenario
