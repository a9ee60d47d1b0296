#include "Process.h"
#include "filbertvane/wire/RecordCodec.h"
#include <nlohmann/json.hpp>

namespace filbertvane::io {

using nlohmann::json;

namespace {

constexpr core::Seconds ConnectWindow{1};

std::pair<std::uint64_t, std::uint64_t> bytesOf(const ControlTraffic &Of) {
  std::uint64_t In = Of.Receipts.BytesIn;
  std::uint64_t Out = Of.Receipts.BytesOut;
  for (const KindTraffic &Kind : Of.Kinds) {
    In += Kind.BytesIn;
    Out += Kind.BytesOut;
  }
  return {In, Out};
}

json kindsOf(const ControlTraffic &Of) {
  json Kinds = json::object();
  for (std::size_t Kind = 0; Kind < Of.Kinds.size(); ++Kind)
    Kinds[std::string(wire::kindName(Kind))] = {Of.Kinds[Kind].BytesIn,
                                                Of.Kinds[Kind].BytesOut};
  return Kinds;
}

} // namespace

std::string Process::status() const {
  const ControlTraffic &Traffic = Control->traffic();
  const auto [In, Out] = bytesOf(Traffic);
  json Versions = json::array();
  for (const Adoption &Each : Adopted)
    Versions.push_back({Each.Version, Each.AdoptedMs, Each.PublishedMs});
  json Centres = json::object();
  for (const auto &[Id, Known] : State.Directory.RemoteDataCentres)
    Centres[Id.value()] =
        Known.SilentSince ? json(Known.SilentSince->time_since_epoch().count())
                          : json(nullptr);
  std::size_t Endpoints = 0;
  for (const auto &Each : State.Directory.LiveMembers)
    if (Each.Ready && Each.Target && !Each.Target->Leaving)
      ++Endpoints;
  const json Whole = {
      {"node", Settings.Node.Id.value()},
      {"data_centre", Settings.Node.DataCentre.value()},
      {"region", Settings.Node.Region.value()},
      {"ready", State.Distribution.Ready},
      {"draining", DrainEarliest.has_value()},
      {"version", State.Distribution.ConfigPosition.Version.value()},
      {"offset", State.Distribution.ConfigPosition.NextOffset.value()},
      {"digest", State.Distribution.ConfigPosition.StateDigest.value()},
      {"lead", State.Directory.IsLead},
      {"coordinator",
       decision::lease::holdsLease(State.Lease, Loop.now().Mono)},
      {"log_available", LogUp},
      {"members", State.Directory.LiveMembers.size()},
      {"endpoints", Endpoints},
      {"data_centres", Centres},
      {"local_rollbacks", State.LocalRollbacks.size()},
      {"active_requests", Engine->active()},
      {"adopted", Versions},
      {"control_bytes_in", In},
      {"control_bytes_out", Out},
      {"control_bytes_by_kind", kindsOf(Traffic)},
      {"cross_region_bytes", Traffic.CrossRegionBytes},
      {"log_bytes_in", LogBytesIn},
      {"log_bytes_out", LogBytesOut},
      {"connects", Traffic.Connects},
      {"peak_connects_per_s", PeakConnects},
      {"state_bytes",
       State.Fleet ? wire::encode(*State.Fleet).size() : std::size_t{0}}};
  return Whole.dump(2);
}

std::string Process::metrics() {
  const ControlTraffic &Traffic = Control->traffic();
  const auto [In, Out] = bytesOf(Traffic);
  Figures.set("filbertvane_control_bytes", {{"direction", "in"}},
              static_cast<double>(In));
  Figures.set("filbertvane_control_bytes", {{"direction", "out"}},
              static_cast<double>(Out));
  Figures.set(
      "filbertvane_config_version", {},
      static_cast<double>(State.Distribution.ConfigPosition.Version.value()));
  Figures.set("filbertvane_ready", {}, State.Distribution.Ready ? 1 : 0);
  Figures.set("filbertvane_members", {},
              static_cast<double>(State.Directory.LiveMembers.size()));
  Figures.set("filbertvane_active_requests", {},
              static_cast<double>(Engine->active()));
  return Figures.render();
}

void Process::noteHop(const HopRecord &Hop) {
  const observe::Labels Of = {{"from", Hop.FromNode ? "node" : "caller"},
                              {"status", std::to_string(Hop.Status)}};
  Figures.observe("filbertvane_request_seconds", Of,
                  Hop.End.Mono - Hop.Begin.Mono);
  observe::Span Span;
  Span.Context = Hop.Context;
  Span.Parent = Hop.ParentSpan;
  Span.Name = Hop.FromNode ? "host-node" : "entry-node";
  Span.Begin = Hop.Begin.Wall;
  Span.End = Hop.End.Wall;
  Span.Failed = Hop.Status == 0 || Hop.Status >= 500;
  Span.Attributes = {{"http.method", Hop.Method},
                     {"http.target", Hop.Path},
                     {"http.status_code", std::to_string(Hop.Status)}};
  Spans->record(std::move(Span));
}

void Process::noteConnects() {
  const core::TimePoint Now = Loop.now().Mono;
  if (Now < ConnectsSince + ConnectWindow)
    return;
  const std::uint64_t Total = Control->traffic().Connects;
  PeakConnects = std::max(PeakConnects, Total - ConnectsBefore);
  ConnectsBefore = Total;
  ConnectsSince = Now;
}

} // namespace filbertvane::io
