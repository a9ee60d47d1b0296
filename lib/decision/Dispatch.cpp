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
  Part = std::move(Next.NextState);
  return std::move(Next.EmittedEffects);
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
  enqueue(membership::Event(
      membership::OwnPositionChanged{S.Distribution.ConfigPosition}));
  enqueue(membership::Event(membership::Started{}));
  enqueue(distribution::Event(distribution::Started{}));
}

void Dispatch::operator()(const Tick &) {
  enqueue(membership::Event(membership::Tick{}));
  enqueue(distribution::Event(distribution::Tick{}));
  enqueue(directory::Event(directory::Tick{}));
  enqueue(lease::Event(lease::Tick{}));
  enqueue(request::Event(request::Tick{}));
  enqueue(rollout::MonitorEvent(rollout::Tick{}));
  enqueue(rollout::ControllerEvent(rollout::Tick{}));
  takeSnapshotWhenDue();
}

void Dispatch::operator()(const DrainStarted &) {
  enqueue(membership::Event(membership::DrainStarted{}));
  enqueue(request::Event(request::DrainStarted{}));
}

void Dispatch::operator()(const TargetAnnounced &What) {
  S.TargetAddress = What.Address;
  enqueue(membership::Event(membership::OwnTargetChanged{What.Announcement}));
}

void Dispatch::operator()(const TargetGone &What) {
  enqueue(request::Event(request::TargetLeaving{What.Id}));
  if (What.Expired)
    enqueue(membership::Event(membership::OwnTargetChanged{std::nullopt}));
  else
    enqueue(membership::Event(membership::OwnTargetLeaving{}));
}

void Dispatch::operator()(const membership::Event &What) {
  auto Effects = applyTo(S.Membership, What, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const distribution::Event &What) {
  auto Effects = applyTo(S.Distribution, What, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const lease::Event &What) {
  auto Effects = applyTo(S.Lease, What, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const directory::Event &What) {
  auto Effects = applyTo(S.Directory, What, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const request::Event &What) {
  auto Effects = applyTo(S.Requests, What, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const rollout::MonitorEvent &What) {
  auto Effects = applyTo(S.Guard, What, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const rollout::ControllerEvent &What) {
  auto Effects = applyTo(S.Controller, What, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const ControlReceived &What) {
  if (isMembershipMessage(What.Payload)) {
    std::visit(
        [&](const auto &Message) {
          using T = std::decay_t<decltype(Message)>;
          if constexpr (std::is_constructible_v<membership::Message, T>)
            enqueue(membership::Event(membership::MessageReceived{
                What.From, membership::Message(Message)}));
        },
        What.Payload);
    return;
  }
  std::visit(
      Overloaded{
          [&](const distribution::RecordBatch &Batch) {
            enqueue(distribution::Event(
                distribution::RecordsReceived{What.From, Batch}));
          },
          [&](const distribution::RecordsRequest &Request) {
            enqueue(distribution::Event(
                distribution::RecordsRequested{What.From, Request}));
          },
          [&](const distribution::Snapshot &Snapshot) {
            enqueue(distribution::Event(
                distribution::SnapshotReceived{What.From, Snapshot}));
          },
          [&](const wire::Summaries &Summaries) {
            enqueue(directory::Event(directory::SummariesReceived{
                What.From, Summaries.DataCentres}));
          },
          [&](const wire::Evidence &Evidence) {
            receive(What.DataCentre, Evidence);
          },
          [&](const wire::LocalRollback &Rollback) { receive(Rollback); },
          [&](const wire::Suspect &Suspect) {
            enqueue(request::Event(request::SuspectLearned{
                Suspect.RequestDigest, Suspect.Crashes}));
          },
          [&](const wire::ClaimRequest &Request) {
            Out.emplace_back(ClaimReceived{What.From, Request});
          },
          [&](const wire::ClaimReply &Reply) {
            Out.emplace_back(ClaimReplied{Reply});
          },
          [](const auto &) {}},
      What.Payload);
}

// --- membership ---

void Dispatch::handleEffect(membership::SendMessage &What) {
  std::visit([&](auto &Message) { send(What.To, std::move(Message)); },
             What.Payload);
}

void Dispatch::handleEffect(membership::EndpointsChanged &What) {
  distribution::MembersChanged Tree;
  for (const membership::Member &Each : What.LiveMembers)
    Tree.LiveMembers.push_back(
        {{Each.Node, Each.ControlAddress},
         Each.Status == membership::MemberStatus::Suspect});
  enqueue(distribution::Event(std::move(Tree)));
  enqueue(
      directory::Event(directory::MembersChanged{std::move(What.LiveMembers)}));
}

void Dispatch::handleEffect(membership::MemberFailed &) {}

void Dispatch::handleEffect(membership::PositionReported &What) {
  enqueue(directory::Event(
      directory::PositionReported{What.From.Node, What.ConfigPosition}));
  enqueue(distribution::Event(
      distribution::PeerPositionReported{What.From, What.ConfigPosition}));
}

// --- distribution ---

void Dispatch::handleEffect(distribution::SendRecords &What) {
  send(What.To, std::move(What.Batch));
}

void Dispatch::handleEffect(distribution::RequestRecords &What) {
  send(What.To, What.Request);
}

void Dispatch::handleEffect(distribution::RequestLogEnd &What) {
  send(What.To, What.Request);
}

void Dispatch::handleEffect(distribution::SendSnapshot &What) {
  send(What.To, std::move(What.Payload));
}

void Dispatch::handleEffect(distribution::StateAdopted &What) {
  S.Fleet = What.State;
  enqueue(
      membership::Event(membership::OwnPositionChanged{What.ConfigPosition}));
  enqueue(directory::Event(
      directory::PositionReported{S.Local.Node, What.ConfigPosition}));
  enqueue(rollout::MonitorEvent(rollout::FleetChanged{What.State}));
  enqueue(rollout::ControllerEvent(rollout::FleetChanged{What.State}));
  updateRequestConfiguration();
  forwardRecordsToLease(What);
  Out.emplace_back(std::move(What));
}

void Dispatch::handleEffect(distribution::ReadyChanged &What) {
  enqueue(membership::Event(membership::OwnReadinessChanged{What.Ready}));
  // Peers that restart take the position of a ready node as a proof.
  enqueue(membership::Event(
      membership::OwnPositionChanged{S.Distribution.ConfigPosition}));
  updateLeaseCandidacy();
  Out.emplace_back(What);
}

void Dispatch::updateRequestConfiguration() {
  if (S.Fleet)
    enqueue(request::Event(
        request::ConfigurationChanged{S.Fleet, S.LocalRollbacks}));
}

void Dispatch::forwardRecordsToLease(const distribution::StateAdopted &What) {
  if (What.Records.empty())
    enqueue(lease::Event(lease::EpochAdopted{What.State->LeaseHolder,
                                             What.State->CurrentEpoch}));
  for (const distribution::AppliedRecord &Each : What.Records) {
    if (!Each.Record || std::holds_alternative<config::Refused>(Each.Outcome) ||
        std::holds_alternative<config::Duplicate>(Each.Outcome))
      continue;
    if (const auto *Claim =
            std::get_if<config::LeaseClaimed>(&Each.Record->Body))
      enqueue(lease::Event(lease::ClaimFolded{Each.Record->Writer,
                                              Claim->Holder, Claim->NewEpoch}));
    if (std::holds_alternative<config::SnapshotTaken>(Each.Record->Body)) {
      S.LastSnapshotOffset = Each.Offset;
      S.NextSnapshot = Now.Mono + S.Local.LogRetention / 3;
    }
  }
}

// --- directory ---

void Dispatch::handleEffect(directory::SendSummaries &What) {
  send(What.To, wire::Summaries{std::move(What.Summaries)});
}

void Dispatch::handleEffect(directory::DataCentreHeard &What) {
  enqueue(rollout::ControllerEvent(
      rollout::DataCentreReported{What.DataCentre, What.LowestVersion}));
}

void Dispatch::handleEffect(directory::DataCentreSilent &What) {
  enqueue(rollout::ControllerEvent(
      rollout::DataCentreLost{What.DataCentre, What.SilentSince}));
}

void Dispatch::handleEffect(directory::EndpointsUpdated &What) {
  std::map<std::pair<core::ServiceName, core::TargetVersion>, std::uint32_t>
      Slots;
  for (const auto &[Key, Count] : S.ReportedSlots)
    Slots[Key] = 0;
  for (const request::Endpoint &Each : What.Endpoints)
    Slots[{Each.Service, Each.Version}] += Each.Slots;
  for (const auto &[Key, Count] : Slots) {
    const auto Known = S.ReportedSlots.find(Key);
    if (Known != S.ReportedSlots.end() && Known->second == Count)
      continue;
    enqueue(rollout::ControllerEvent(
        rollout::SlotsChanged{Key.first, Key.second, Count, 0}));
  }
  S.ReportedSlots = std::move(Slots);
  // The own target is reached without the hop over the peers port.
  for (request::Endpoint &Each : What.Endpoints)
    if (Each.Node == S.Local.Node)
      Each.Address = S.TargetAddress;
  enqueue(request::Event(request::EndpointsChanged{std::move(What.Endpoints)}));
}

void Dispatch::handleEffect(directory::RemoteLeadsUpdated &What) {
  enqueue(distribution::Event(
      distribution::RemoteLeadsChanged{std::move(What.RemoteLeads)}));
}

void Dispatch::handleEffect(directory::LeadershipChanged &What) {
  enqueue(rollout::MonitorEvent(rollout::LeadershipChanged{What.IsLead}));
  updateLeaseCandidacy();
}

void Dispatch::updateLeaseCandidacy() {
  enqueue(lease::Event(
      lease::LeadChanged{S.Directory.IsLead && S.Distribution.Ready}));
}

// --- lease ---

void Dispatch::handleEffect(lease::AppendClaim &What) {
  append(config::LeaseClaimed{S.Local.Node, What.NewEpoch});
}

void Dispatch::handleEffect(lease::BecameHolder &What) {
  S.NextSnapshot = Now.Mono + S.Local.LogRetention / 3;
  enqueue(rollout::ControllerEvent(rollout::LeaseGained{What.HeldEpoch}));
}

void Dispatch::handleEffect(lease::LostLease &) {
  enqueue(rollout::ControllerEvent(rollout::LeaseLost{}));
}

void Dispatch::append(config::RecordBody Body) {
  S.LastSequence += 1;
  Out.emplace_back(
      AppendConfig{{writerOf(S.Local), S.LastSequence, std::move(Body)}});
}

/// A snapshot each third of the retention leaves two more tries before the
/// records that it replaces expire.
void Dispatch::takeSnapshotWhenDue() {
  if (!S.Fleet || Now.Mono < S.NextSnapshot ||
      !lease::holdsLease(S.Lease, Now.Mono))
    return;
  if (S.Fleet->NextOffset <= core::LogOffset(S.LastSnapshotOffset.value() + 1))
    return;
  S.NextSnapshot = Now.Mono + S.Local.LogRetention / 12;
  append(config::SnapshotTaken{S.Fleet->CurrentEpoch, S.Fleet->NextOffset,
                               S.Local.Folding.DigestOf(*S.Fleet),
                               S.Local.Folding.Encode(*S.Fleet)});
}

// --- requests ---

void Dispatch::handleEffect(request::Observed &What) {
  enqueue(rollout::MonitorEvent(std::move(What)));
}

void Dispatch::handleEffect(request::SuspectReported &What) {
  for (const std::string &To : memberAddresses())
    send(To, wire::Suspect{What.RequestDigest, What.Crashes});
}

// --- addresses ---

void Dispatch::send(const std::string &To, wire::ControlMessage What) {
  Out.emplace_back(SendControl{To, std::move(What)});
}

std::vector<std::string> Dispatch::memberAddresses() const {
  std::vector<std::string> Addresses;
  for (const membership::Member &Each : S.Directory.LiveMembers)
    if (Each.Node != S.Local.Node)
      Addresses.push_back(Each.ControlAddress);
  return Addresses;
}

std::optional<std::string> Dispatch::leadAddress() const {
  std::vector<core::NodeId> Nodes;
  for (const membership::Member &Each : S.Directory.LiveMembers)
    Nodes.push_back(Each.Node);
  const auto Lead =
      membership::rendezvousWinner(S.Local.DataCentre.value(), Nodes);
  for (const membership::Member &Each : S.Directory.LiveMembers)
    if (Lead && Each.Node == *Lead)
      return Each.ControlAddress;
  return std::nullopt;
}

bool Dispatch::isCoordinator() const {
  return S.Fleet && S.Fleet->LeaseHolder == S.Local.Node;
}

std::optional<std::string> Dispatch::coordinatorAddress() const {
  if (!S.Fleet)
    return std::nullopt;
  for (const membership::Member &Each : S.Directory.LiveMembers)
    if (Each.Node == S.Fleet->LeaseHolder)
      return Each.ControlAddress;
  for (const distribution::RemoteLead &Each : S.Distribution.RemoteLeads)
    if (Each.Contact.Node == S.Fleet->LeaseHolder)
      return Each.Contact.Address;
  return std::nullopt;
}

} // namespace filbertvane::decision
