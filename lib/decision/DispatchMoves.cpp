#include "Dispatch.h"
#include "EvidenceMessages.h"

namespace filbertvane::decision {

void Dispatch::receive(const core::DataCentreId &DataCentre,
                       const wire::Evidence &What) {
  // Members report to their lead; leads of other data centres report to the
  // coordinator.
  const bool FromMember = DataCentre == S.Local.DataCentre;
  const bool CoordinatorOnly = isCoordinator() && !S.Directory.IsLead;
  if (FromMember && !CoordinatorOnly)
    enqueue(rollout::GuardEvent(rollout::EvidenceReceived{fromMessage(What)}));
  else
    enqueue(
        rollout::ControllerEvent(rollout::EvidenceReceived{fromMessage(What)}));
}

void Dispatch::receive(const wire::LocalRollback &What) {
  const rollout::Overlay Value = fromMessage(What);
  enqueue(rollout::GuardEvent(rollout::OverlayReceived{Value}));
  if (isCoordinator())
    enqueue(rollout::ControllerEvent(rollout::OverlayReceived{Value}));
}

void Dispatch::handleEffect(rollout::SendEvidence &What) {
  const bool ToLead = What.To == rollout::Receiver::Lead;
  if (ToLead && S.Directory.IsLead) {
    enqueue(
        rollout::GuardEvent(rollout::EvidenceReceived{std::move(What.Report)}));
    return;
  }
  if (!ToLead && isCoordinator()) {
    enqueue(rollout::ControllerEvent(
        rollout::EvidenceReceived{std::move(What.Report)}));
    return;
  }
  const auto To = ToLead ? leadAddress() : coordinatorAddress();
  if (To)
    send(*To, toMessage(What.Report));
}

void Dispatch::handleEffect(rollout::SendOverlay &What) {
  switch (What.To) {
  case rollout::Receiver::Lead:
    if (const auto To = leadAddress(); To && !S.Directory.IsLead)
      send(*To, toMessage(What.Value));
    return;
  case rollout::Receiver::Members:
    for (const std::string &To : memberAddresses())
      send(To, toMessage(What.Value));
    return;
  case rollout::Receiver::Coordinator:
    if (isCoordinator())
      enqueue(rollout::ControllerEvent(rollout::OverlayReceived{What.Value}));
    else if (const auto To = coordinatorAddress())
      send(*To, toMessage(What.Value));
    return;
  }
}

void Dispatch::handleEffect(rollout::LocalRollbacksChanged &What) {
  S.LocalRollbacks = std::move(What.Moves);
  updateRequestConfiguration();
}

void Dispatch::handleEffect(rollout::Append &What) {
  // The process may have been paused since the lease was last checked.
  if (lease::holdsLease(S.Lease, Now.Mono))
    append(std::move(What.Body));
}

void Dispatch::handleEffect(rollout::PublishOverlay &What) {
  enqueue(rollout::GuardEvent(rollout::OverlayReceived{What.Value}));
  for (const distribution::RemoteLead &Each : S.Distribution.RemoteLeads)
    send(Each.Contact.Address, toMessage(What.Value));
}

} // namespace filbertvane::decision
