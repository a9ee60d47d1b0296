#include "Dispatch.h"
#include "EvidenceMessages.h"

namespace filbertvane::decision {

void Dispatch::receive(const core::DataCentreId &DataCentre,
                       const wire::Evidence &What) {
  // Members report to their lead; leads of other data centres report to the
  // coordinator.
  const bool FromMember = DataCentre == S.Own.DataCentre;
  const bool CoordinatorOnly = isCoordinator() && !S.Directory.IsLead;
  if (FromMember && !CoordinatorOnly)
    follow(rollout::GuardEvent(rollout::EvidenceReceived{fromMessage(What)}));
  else
    follow(
        rollout::ControllerEvent(rollout::EvidenceReceived{fromMessage(What)}));
}

void Dispatch::receive(const wire::LocalRollback &What) {
  const rollout::Overlay Value = fromMessage(What);
  follow(rollout::GuardEvent(rollout::OverlayReceived{Value}));
  if (isCoordinator())
    follow(rollout::ControllerEvent(rollout::OverlayReceived{Value}));
}

void Dispatch::route(rollout::SendEvidence &What) {
  const bool ToLead = What.To == rollout::Receiver::Lead;
  if (ToLead && S.Directory.IsLead) {
    follow(
        rollout::GuardEvent(rollout::EvidenceReceived{std::move(What.Report)}));
    return;
  }
  if (!ToLead && isCoordinator()) {
    follow(rollout::ControllerEvent(
        rollout::EvidenceReceived{std::move(What.Report)}));
    return;
  }
  const auto To = ToLead ? leadAddress() : coordinatorAddress();
  if (To)
    send(*To, toMessage(What.Report));
}

void Dispatch::route(rollout::SendOverlay &What) {
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
      follow(rollout::ControllerEvent(rollout::OverlayReceived{What.Value}));
    else if (const auto To = coordinatorAddress())
      send(*To, toMessage(What.Value));
    return;
  }
}

void Dispatch::route(rollout::LocalRollbacksChanged &What) {
  S.LocalRollbacks = std::move(What.Moves);
  tellRequestsConfiguration();
}

void Dispatch::route(rollout::Append &What) {
  // The process may have been paused since the lease was last checked.
  if (lease::mayAct(S.Lease, Now.Mono))
    append(std::move(What.Body));
}

void Dispatch::route(rollout::PublishOverlay &What) {
  follow(rollout::GuardEvent(rollout::OverlayReceived{What.Value}));
  for (const distribution::OtherLead &Each : S.Records.Leads)
    send(Each.At.Address, toMessage(What.Value));
}

} // namespace filbertvane::decision
