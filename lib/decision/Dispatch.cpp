#include "Dispatch.h"
#include "filbertvane/decision/membership/Ranking.h"
#include <algorithm>

namespace filbertvane::decision {

using core::Overloaded;

namespace {

/// Passes an event to one part and keeps its next state.
template <typename State, typename Event>
auto applyTo(State &Part, const Event &What, core::Instant Now) {
  auto Next = reduce(std::move(Part), What, Now);
  Part = std::move(Next.Next);
  return std::move(Next.Out);
}

bool isMembershipMessage(const wire::ControlMessage &What) {
  return std::holds_alternative<membership::Probe>(What) ||
         std::holds_alternative<membership::ProbeAck>(What) ||
         std::holds_alternative<membership::IndirectProbe>(What) ||
         std::holds_alternative<membership::IndirectProbeAck>(What) ||
         std::holds_alternative<membership::JoinRequest>(What) ||
         std::holds_alternative<membership::JoinReply>(What) ||
         std::holds_alternative<membership::Leave>(What);
}

} // namespace

void Dispatch::run(NodeEvent First) {
  Pending.push_back(std::move(First));
  while (!Pending.empty()) {
    const NodeEvent What = std::move(Pending.front());
    Pending.pop_front();
    std::visit(*this, What);
  }
}

void Dispatch::operator()(const Started &) {
  // Peers compare positions from the first message on.
  follow(membership::Event(membership::OwnPositionChanged{S.Records.At}));
  follow(membership::Event(membership::Started{}));
  follow(distribution::Event(distribution::Started{}));
}

void Dispatch::operator()(const Tick &) {
  follow(membership::Event(membership::Tick{}));
  follow(distribution::Event(distribution::Tick{}));
  follow(directory::Event(directory::Tick{}));
  follow(lease::Event(lease::Tick{}));
  follow(request::Event(request::Tick{}));
  follow(rollout::GuardEvent(rollout::Tick{}));
  follow(rollout::ControllerEvent(rollout::Tick{}));
  takeSnapshotWhenDue();
}

void Dispatch::operator()(const DrainStarted &) {
  follow(membership::Event(membership::DrainStarted{}));
  follow(request::Event(request::DrainStarted{}));
}

void Dispatch::operator()(const TargetAnnounced &What) {
  S.TargetAddress = What.Address;
  follow(membership::Event(membership::OwnTargetChanged{What.What}));
}

void Dispatch::operator()(const TargetGone &What) {
  follow(request::Event(request::TargetLeaving{What.Id}));
  if (What.Expired)
    follow(membership::Event(membership::OwnTargetChanged{std::nullopt}));
  else
    follow(membership::Event(membership::OwnTargetLeaving{}));
}

void Dispatch::operator()(const membership::Event &What) {
  auto Effects = applyTo(S.Members, What, Now);
  routeAll(Effects);
}

void Dispatch::operator()(const distribution::Event &What) {
  auto Effects = applyTo(S.Records, What, Now);
  routeAll(Effects);
}

void Dispatch::operator()(const lease::Event &What) {
  auto Effects = applyTo(S.Lease, What, Now);
  routeAll(Effects);
}

void Dispatch::operator()(const directory::Event &What) {
  auto Effects = applyTo(S.Directory, What, Now);
  routeAll(Effects);
}

void Dispatch::operator()(const request::Event &What) {
  auto Effects = applyTo(S.Requests, What, Now);
  routeAll(Effects);
}

void Dispatch::operator()(const rollout::GuardEvent &What) {
  auto Effects = applyTo(S.Guard, What, Now);
  routeAll(Effects);
}

void Dispatch::operator()(const rollout::ControllerEvent &What) {
  auto Effects = applyTo(S.Moves, What, Now);
  routeAll(Effects);
}

void Dispatch::operator()(const ControlReceived &What) {
  if (isMembershipMessage(What.What)) {
    std::visit(
        [&](const auto &Message) {
          using T = std::decay_t<decltype(Message)>;
          if constexpr (std::is_constructible_v<membership::Message, T>)
            follow(membership::Event(membership::MessageReceived{
                What.From, membership::Message(Message)}));
        },
        What.What);
    return;
  }
  std::visit(
      Overloaded{
          [&](const distribution::RecordBatch &Batch) {
            follow(distribution::Event(
                distribution::RecordsReceived{What.From, Batch}));
          },
          [&](const distribution::RecordsRequest &Request) {
            follow(distribution::Event(
                distribution::RecordsRequested{What.From, Request}));
          },
          [&](const distribution::Snapshot &Snapshot) {
            follow(distribution::Event(
                distribution::SnapshotReceived{What.From, Snapshot}));
          },
          [&](const wire::Summaries &Summaries) {
            follow(directory::Event(directory::SummariesReceived{
                What.From, Summaries.DataCentres}));
          },
          [&](const wire::Evidence &Evidence) {
            receive(What.DataCentre, Evidence);
          },
          [&](const wire::LocalRollback &Rollback) { receive(Rollback); },
          [&](const wire::Suspect &Suspect) {
            follow(request::Event(request::SuspectLearned{Suspect.RequestDigest,
                                                          Suspect.Crashes}));
          },
          [&](const wire::ClaimRequest &Request) {
            Out.emplace_back(ClaimReceived{What.From, Request});
          },
          [&](const wire::ClaimReply &Reply) {
            Out.emplace_back(ClaimReplied{Reply});
          },
          [](const auto &) {}},
      What.What);
}

// --- membership ---

void Dispatch::route(membership::SendMessage &What) {
  std::visit([&](auto &Message) { send(What.To, std::move(Message)); },
             What.What);
}

void Dispatch::route(membership::EndpointsChanged &What) {
  distribution::MembersChanged Tree;
  for (const membership::Member &Each : What.Live)
    Tree.Live.push_back({{Each.Node, Each.ControlAddress},
                         Each.Status == membership::MemberStatus::Suspect});
  follow(distribution::Event(std::move(Tree)));
  follow(directory::Event(directory::MembersChanged{std::move(What.Live)}));
}

void Dispatch::route(membership::MemberFailed &) {}

void Dispatch::route(membership::PositionReported &What) {
  follow(directory::Event(directory::PositionKnown{What.From.Node, What.At}));
  follow(distribution::Event(distribution::PositionHeard{What.From, What.At}));
}

// --- distribution ---

void Dispatch::route(distribution::SendRecords &What) {
  send(What.To, std::move(What.Batch));
}

void Dispatch::route(distribution::RequestRecords &What) {
  send(What.To, What.What);
}

void Dispatch::route(distribution::RequestEnd &What) {
  send(What.To, What.What);
}

void Dispatch::route(distribution::SendSnapshot &What) {
  send(What.To, std::move(What.What));
}

void Dispatch::route(distribution::StateAdopted &What) {
  S.Fleet = What.State;
  follow(membership::Event(membership::OwnPositionChanged{What.At}));
  follow(directory::Event(directory::PositionKnown{S.Own.Node, What.At}));
  follow(rollout::GuardEvent(rollout::FleetChanged{What.State}));
  follow(rollout::ControllerEvent(rollout::FleetChanged{What.State}));
  tellRequestsConfiguration();
  tellLeaseOfRecords(What);
  Out.emplace_back(std::move(What));
}

void Dispatch::route(distribution::ReadyChanged &What) {
  follow(membership::Event(membership::OwnReadinessChanged{What.Ready}));
  // Peers that restart take the position of a ready node as a proof.
  follow(membership::Event(membership::OwnPositionChanged{S.Records.At}));
  tellCandidacy();
  Out.emplace_back(What);
}

void Dispatch::tellRequestsConfiguration() {
  if (S.Fleet)
    follow(request::Event(
        request::ConfigurationChanged{S.Fleet, S.LocalRollbacks}));
}

void Dispatch::tellLeaseOfRecords(const distribution::StateAdopted &What) {
  if (What.Records.empty())
    follow(lease::Event(lease::EpochAdopted{What.State->LeaseHolder,
                                            What.State->CurrentEpoch}));
  for (const distribution::AppliedRecord &Each : What.Records) {
    if (!Each.Record || std::holds_alternative<config::Refused>(Each.Outcome) ||
        std::holds_alternative<config::Duplicate>(Each.Outcome))
      continue;
    if (const auto *Claim =
            std::get_if<config::LeaseClaimed>(&Each.Record->Body))
      follow(lease::Event(lease::ClaimFolded{Each.Record->Writer, Claim->Holder,
                                             Claim->NewEpoch}));
    if (std::holds_alternative<config::SnapshotTaken>(Each.Record->Body)) {
      S.LastSnapshot = Each.Offset;
      S.NextSnapshot = Now.Mono + S.Own.LogRetention / 3;
    }
  }
}

// --- directory ---

void Dispatch::route(directory::SendSummaries &What) {
  send(What.To, wire::Summaries{std::move(What.DataCentres)});
}

void Dispatch::route(directory::DataCentreHeard &What) {
  follow(rollout::ControllerEvent(
      rollout::DataCentreReported{What.DataCentre, What.Lowest}));
}

void Dispatch::route(directory::DataCentreCutOff &What) {
  follow(rollout::ControllerEvent(
      rollout::DataCentreLost{What.DataCentre, What.Since}));
}

void Dispatch::route(directory::EndpointsKnown &What) {
  std::map<std::pair<core::ServiceName, core::TargetVersion>, std::uint32_t>
      Slots;
  for (const auto &[Key, Count] : S.Slots)
    Slots[Key] = 0;
  for (const request::Endpoint &Each : What.Endpoints)
    Slots[{Each.Service, Each.Version}] += Each.Slots;
  for (const auto &[Key, Count] : Slots) {
    const auto Known = S.Slots.find(Key);
    if (Known != S.Slots.end() && Known->second == Count)
      continue;
    follow(rollout::ControllerEvent(
        rollout::SlotsChanged{Key.first, Key.second, Count, 0}));
  }
  S.Slots = std::move(Slots);
  // The own target is reached without the hop over the peers port.
  for (request::Endpoint &Each : What.Endpoints)
    if (Each.Node == S.Own.Node)
      Each.Address = S.TargetAddress;
  follow(request::Event(request::EndpointsChanged{std::move(What.Endpoints)}));
}

void Dispatch::route(directory::LeadsKnown &What) {
  follow(distribution::Event(
      distribution::OtherLeadsChanged{std::move(What.Leads)}));
}

void Dispatch::route(directory::LeadershipChanged &What) {
  follow(rollout::GuardEvent(rollout::LeadershipChanged{What.IsLead}));
  tellCandidacy();
}

void Dispatch::tellCandidacy() {
  follow(
      lease::Event(lease::LeadChanged{S.Directory.IsLead && S.Records.Ready}));
}

// --- lease ---

void Dispatch::route(lease::AppendClaim &What) {
  append(config::LeaseClaimed{S.Own.Node, What.NewEpoch});
}

void Dispatch::route(lease::BecameHolder &What) {
  S.NextSnapshot = Now.Mono + S.Own.LogRetention / 3;
  follow(rollout::ControllerEvent(rollout::LeaseGained{What.Held}));
}

void Dispatch::route(lease::LostLease &) {
  follow(rollout::ControllerEvent(rollout::LeaseLost{}));
}

void Dispatch::append(config::RecordBody Body) {
  S.LastSequence += 1;
  Out.emplace_back(
      AppendConfig{{writerOf(S.Own), S.LastSequence, std::move(Body)}});
}

/// A snapshot each third of the retention leaves two more tries before the
/// records that it replaces expire.
void Dispatch::takeSnapshotWhenDue() {
  if (!S.Fleet || Now.Mono < S.NextSnapshot ||
      !lease::mayAct(S.Lease, Now.Mono))
    return;
  if (S.Fleet->Next <= core::LogOffset(S.LastSnapshot.value() + 1))
    return;
  S.NextSnapshot = Now.Mono + S.Own.LogRetention / 12;
  append(config::SnapshotTaken{S.Fleet->CurrentEpoch, S.Fleet->Next,
                               S.Own.Folding.DigestOf(*S.Fleet),
                               S.Own.Folding.Encode(*S.Fleet)});
}

// --- requests ---

void Dispatch::route(request::ObservedAnswer &What) {
  follow(rollout::GuardEvent(std::move(What)));
}

void Dispatch::route(request::SuspectReported &What) {
  for (const std::string &To : memberAddresses())
    send(To, wire::Suspect{What.RequestDigest, What.Crashes});
}

// --- addresses ---

void Dispatch::send(const std::string &To, wire::ControlMessage What) {
  Out.emplace_back(SendControl{To, std::move(What)});
}

std::vector<std::string> Dispatch::memberAddresses() const {
  std::vector<std::string> Addresses;
  for (const membership::Member &Each : S.Directory.Live)
    if (Each.Node != S.Own.Node)
      Addresses.push_back(Each.ControlAddress);
  return Addresses;
}

std::optional<std::string> Dispatch::leadAddress() const {
  std::vector<core::NodeId> Nodes;
  for (const membership::Member &Each : S.Directory.Live)
    Nodes.push_back(Each.Node);
  const auto Lead = membership::winner(S.Own.DataCentre.value(), Nodes);
  for (const membership::Member &Each : S.Directory.Live)
    if (Lead && Each.Node == *Lead)
      return Each.ControlAddress;
  return std::nullopt;
}

bool Dispatch::isCoordinator() const {
  return S.Fleet && S.Fleet->LeaseHolder == S.Own.Node;
}

std::optional<std::string> Dispatch::coordinatorAddress() const {
  if (!S.Fleet)
    return std::nullopt;
  for (const membership::Member &Each : S.Directory.Live)
    if (Each.Node == S.Fleet->LeaseHolder)
      return Each.ControlAddress;
  for (const distribution::OtherLead &Each : S.Records.Leads)
    if (Each.At.Node == S.Fleet->LeaseHolder)
      return Each.At.Address;
  return std::nullopt;
}

} // namespace filbertvane::decision
