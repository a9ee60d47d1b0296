#include "Dispatch.h"
#include "filbertvane/decision/membership/Ranking.h"
#include <algorithm>

namespace filbertvane::decision {

using core::Overloaded;

namespace {

/// Applies an event to one component and returns the effects.
template <typename State, typename Event>
auto applyTo(State &Part, const Event &NewEvent, core::Instant Now) {
  auto Next = reduce(std::move(Part), NewEvent, Now);
  Part = std::move(Next.NextState);
  return std::move(Next.EmittedEffects);
}

bool isMembershipMessage(const wire::ControlMessage &Message) {
  return std::holds_alternative<membership::Probe>(Message) ||
         std::holds_alternative<membership::ProbeAck>(Message) ||
         std::holds_alternative<membership::IndirectProbe>(Message) ||
         std::holds_alternative<membership::IndirectProbeAck>(Message) ||
         std::holds_alternative<membership::JoinRequest>(Message) ||
         std::holds_alternative<membership::JoinReply>(Message) ||
         std::holds_alternative<membership::Leave>(Message);
}

} // namespace

void Dispatch::run(NodeEvent First) {
  Pending.push_back(std::move(First));
  while (!Pending.empty()) {
    const NodeEvent Event = std::move(Pending.front());
    Pending.pop_front();
    std::visit(*this, Event);
  }
}

void Dispatch::operator()(const Started &) {
  // Peers compare positions starting with the first message.
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

void Dispatch::operator()(const TargetAnnounced &Event) {
  S.TargetAddress = Event.Address;
  enqueue(membership::Event(membership::OwnTargetChanged{Event.Announcement}));
}

void Dispatch::operator()(const TargetGone &Event) {
  enqueue(request::Event(request::TargetLeaving{Event.Id}));
  if (Event.Expired)
    enqueue(membership::Event(membership::OwnTargetChanged{std::nullopt}));
  else
    enqueue(membership::Event(membership::OwnTargetLeaving{}));
}

void Dispatch::operator()(const membership::Event &Event) {
  auto Effects = applyTo(S.Membership, Event, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const distribution::Event &Event) {
  auto Effects = applyTo(S.Distribution, Event, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const lease::Event &Event) {
  auto Effects = applyTo(S.Lease, Event, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const directory::Event &Event) {
  auto Effects = applyTo(S.Directory, Event, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const request::Event &Event) {
  auto Effects = applyTo(S.Requests, Event, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const rollout::MonitorEvent &Event) {
  auto Effects = applyTo(S.Guard, Event, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const rollout::ControllerEvent &Event) {
  auto Effects = applyTo(S.Controller, Event, Now);
  handleEffects(Effects);
}

void Dispatch::operator()(const ControlReceived &Event) {
  if (isMembershipMessage(Event.Payload)) {
    std::visit(
        [&](const auto &Message) {
          using T = std::decay_t<decltype(Message)>;
          if constexpr (std::is_constructible_v<membership::Message, T>)
            enqueue(membership::Event(membership::MessageReceived{
                Event.From, membership::Message(Message)}));
        },
        Event.Payload);
    return;
  }
  std::visit(
      Overloaded{
          [&](const distribution::RecordBatch &Batch) {
            enqueue(distribution::Event(
                distribution::RecordsReceived{Event.From, Batch}));
          },
          [&](const distribution::RecordsRequest &Request) {
            enqueue(distribution::Event(
                distribution::RecordsRequested{Event.From, Request}));
          },
          [&](const distribution::Snapshot &Snapshot) {
            enqueue(distribution::Event(
                distribution::SnapshotReceived{Event.From, Snapshot}));
          },
          [&](const wire::Summaries &Summaries) {
            enqueue(directory::Event(directory::SummariesReceived{
                Event.From, Summaries.DataCentres}));
          },
          [&](const wire::Evidence &Evidence) {
            receive(Event.DataCentre, Evidence);
          },
          [&](const wire::LocalRollback &Rollback) { receive(Rollback); },
          [&](const wire::Suspect &Suspect) {
            enqueue(request::Event(request::SuspectLearned{
                Suspect.RequestDigest, Suspect.Crashes}));
          },
          [&](const wire::ClaimRequest &Request) {
            Out.emplace_back(ClaimReceived{Event.From, Request});
          },
          [&](const wire::ClaimReply &Reply) {
            Out.emplace_back(ClaimReplied{Reply});
          },
          [](const auto &) {}},
      Event.Payload);
}

// --- membership ---

void Dispatch::handleEffect(membership::SendMessage &Effect) {
  std::visit([&](auto &Message) { send(Effect.To, std::move(Message)); },
             Effect.Payload);
}

void Dispatch::handleEffect(membership::EndpointsChanged &Effect) {
  distribution::MembersChanged Tree;
  for (const membership::Member &Each : Effect.LiveMembers)
    Tree.LiveMembers.push_back(
        {{Each.Node, Each.ControlAddress},
         Each.Status == membership::MemberStatus::Suspect});
  enqueue(distribution::Event(std::move(Tree)));
  enqueue(directory::Event(
      directory::MembersChanged{std::move(Effect.LiveMembers)}));
}

void Dispatch::handleEffect(membership::MemberFailed &) {}

void Dispatch::handleEffect(membership::PositionReported &Effect) {
  enqueue(directory::Event(
      directory::PositionReported{Effect.From.Node, Effect.ConfigPosition}));
  enqueue(distribution::Event(
      distribution::PeerPositionReported{Effect.From, Effect.ConfigPosition}));
}

// --- distribution ---

void Dispatch::handleEffect(distribution::SendRecords &Effect) {
  send(Effect.To, std::move(Effect.Batch));
}

void Dispatch::handleEffect(distribution::RequestRecords &Effect) {
  send(Effect.To, Effect.Request);
}

void Dispatch::handleEffect(distribution::RequestLogEnd &Effect) {
  send(Effect.To, Effect.Request);
}

void Dispatch::handleEffect(distribution::SendSnapshot &Effect) {
  send(Effect.To, std::move(Effect.Payload));
}

void Dispatch::handleEffect(distribution::StateAdopted &Effect) {
  S.Fleet = Effect.State;
  enqueue(
      membership::Event(membership::OwnPositionChanged{Effect.ConfigPosition}));
  enqueue(directory::Event(
      directory::PositionReported{S.Local.Node, Effect.ConfigPosition}));
  enqueue(rollout::MonitorEvent(rollout::FleetChanged{Effect.State}));
  enqueue(rollout::ControllerEvent(rollout::FleetChanged{Effect.State}));
  updateRequestConfiguration();
  forwardRecordsToLease(Effect);
  Out.emplace_back(std::move(Effect));
}

void Dispatch::handleEffect(distribution::ReadyChanged &Effect) {
  enqueue(membership::Event(membership::OwnReadinessChanged{Effect.Ready}));
  // For restarting peers, the position of a ready node is a proof.
  enqueue(membership::Event(
      membership::OwnPositionChanged{S.Distribution.ConfigPosition}));
  updateLeaseCandidacy();
  Out.emplace_back(Effect);
}

void Dispatch::updateRequestConfiguration() {
  if (S.Fleet)
    enqueue(request::Event(
        request::ConfigurationChanged{S.Fleet, S.LocalRollbacks}));
}

void Dispatch::forwardRecordsToLease(
    const distribution::StateAdopted &Adopted) {
  if (Adopted.Records.empty())
    enqueue(lease::Event(lease::EpochAdopted{Adopted.State->LeaseHolder,
                                             Adopted.State->CurrentEpoch}));
  for (const distribution::AppliedRecord &Each : Adopted.Records) {
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

void Dispatch::handleEffect(directory::SendSummaries &Effect) {
  send(Effect.To, wire::Summaries{std::move(Effect.Summaries)});
}

void Dispatch::handleEffect(directory::DataCentreHeard &Effect) {
  enqueue(rollout::ControllerEvent(
      rollout::DataCentreReported{Effect.DataCentre, Effect.LowestVersion}));
}

void Dispatch::handleEffect(directory::DataCentreSilent &Effect) {
  enqueue(rollout::ControllerEvent(
      rollout::DataCentreLost{Effect.DataCentre, Effect.SilentSince}));
}

void Dispatch::handleEffect(directory::EndpointsUpdated &Effect) {
  std::map<std::pair<core::ServiceName, core::TargetVersion>, std::uint32_t>
      Slots;
  for (const auto &[Key, Count] : S.ReportedSlots)
    Slots[Key] = 0;
  for (const request::Endpoint &Each : Effect.Endpoints)
    Slots[{Each.Service, Each.Version}] += Each.Slots;
  for (const auto &[Key, Count] : Slots) {
    const auto Known = S.ReportedSlots.find(Key);
    if (Known != S.ReportedSlots.end() && Known->second == Count)
      continue;
    enqueue(rollout::ControllerEvent(
        rollout::SlotsChanged{Key.first, Key.second, Count, 0}));
  }
  S.ReportedSlots = std::move(Slots);
  // Requests to the target of this host do not pass through the peer port.
  for (request::Endpoint &Each : Effect.Endpoints)
    if (Each.Node == S.Local.Node)
      Each.Address = S.TargetAddress;
  enqueue(
      request::Event(request::EndpointsChanged{std::move(Effect.Endpoints)}));
}

void Dispatch::handleEffect(directory::RemoteLeadsUpdated &Effect) {
  enqueue(distribution::Event(
      distribution::RemoteLeadsChanged{std::move(Effect.RemoteLeads)}));
}

void Dispatch::handleEffect(directory::LeadershipChanged &Effect) {
  enqueue(rollout::MonitorEvent(rollout::LeadershipChanged{Effect.IsLead}));
  updateLeaseCandidacy();
}

void Dispatch::updateLeaseCandidacy() {
  enqueue(lease::Event(
      lease::LeadChanged{S.Directory.IsLead && S.Distribution.Ready}));
}

// --- lease ---

void Dispatch::handleEffect(lease::AppendClaim &Effect) {
  append(config::LeaseClaimed{S.Local.Node, Effect.NewEpoch});
}

void Dispatch::handleEffect(lease::BecameHolder &Effect) {
  S.NextSnapshot = Now.Mono + S.Local.LogRetention / 3;
  enqueue(rollout::ControllerEvent(rollout::LeaseGained{Effect.HeldEpoch}));
}

void Dispatch::handleEffect(lease::LostLease &) {
  enqueue(rollout::ControllerEvent(rollout::LeaseLost{}));
}

void Dispatch::append(config::RecordBody Body) {
  S.LastSequence += 1;
  Out.emplace_back(
      AppendConfig{{writerOf(S.Local), S.LastSequence, std::move(Body)}});
}

/// A snapshot per third of the retention leaves two more attempts before the
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

// --- request routing ---

void Dispatch::handleEffect(request::ObservedAnswer &Effect) {
  enqueue(rollout::MonitorEvent(std::move(Effect)));
}

void Dispatch::handleEffect(request::SuspectReported &Effect) {
  for (const std::string &To : memberAddresses())
    send(To, wire::Suspect{Effect.RequestDigest, Effect.Crashes});
}

// --- addresses ---

void Dispatch::send(const std::string &To, wire::ControlMessage Payload) {
  Out.emplace_back(SendControl{To, std::move(Payload)});
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
