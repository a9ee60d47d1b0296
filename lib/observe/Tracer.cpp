#include "filbertvane/observe/Tracer.h"
#include "filbertvane/io/HttpClient.h"
#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace filbertvane::observe {

namespace {

constexpr core::Seconds ExportPeriod{1};
constexpr core::Seconds ExportDeadline{5};
/// Values of the OTLP enumerations `SpanKind` and `StatusCode`.
constexpr int SpanKindServer = 2;
constexpr int StatusCodeError = 2;

std::string nanoseconds(core::WallTime Time) {
  // 64-bit integers are strings in the JSON encoding of protocol buffers.
  return std::to_string(Time.time_since_epoch().count()) + "000000";
}

nlohmann::json attribute(const std::string &Key, const std::string &Value) {
  return {{"key", Key}, {"value", {{"stringValue", Value}}}};
}

nlohmann::json toJson(const Span &Finished) {
  nlohmann::json Attributes = nlohmann::json::array();
  for (const auto &[Key, Value] : Finished.Attributes)
    Attributes.push_back(attribute(Key, Value));
  nlohmann::json Out = {{"traceId", Finished.Context.TraceId},
                        {"spanId", Finished.Context.SpanId},
                        {"name", Finished.Name},
                        {"kind", SpanKindServer},
                        {"startTimeUnixNano", nanoseconds(Finished.Begin)},
                        {"endTimeUnixNano", nanoseconds(Finished.End)},
                        {"attributes", Attributes}};
  if (!Finished.Parent.empty())
    Out["parentSpanId"] = Finished.Parent;
  if (Finished.Failed)
    Out["status"] = {{"code", StatusCodeError}};
  return Out;
}

} // namespace

std::string toOtlpJson(const std::string &Service, const std::string &Instance,
                       const std::vector<Span> &Batch) {
  nlohmann::json Spans = nlohmann::json::array();
  std::transform(Batch.begin(), Batch.end(), std::back_inserter(Spans), toJson);
  const nlohmann::json Resource = {
      {"attributes",
       {attribute("service.name", Service),
        attribute("service.instance.id", Instance)}}};
  const nlohmann::json Scope = {{"scope", {{"name", "filbertvane"}}},
                                {"spans", Spans}};
  const nlohmann::json Root = {
      {"resourceSpans", {{{"resource", Resource}, {"scopeSpans", {Scope}}}}}};
  // Paths of callers may hold bytes that are not UTF-8.
  return Root.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

struct Tracer::Exporter {
  Exporter(io::EventLoop &Loop, io::HttpClient &Client, Options Settings)
      : Loop(Loop), Client(Client), Settings(std::move(Settings)),
        Period(Loop, [this] { send(); }) {}

  void send();
  void done(std::size_t Count, int Status);

  io::EventLoop &Loop;
  io::HttpClient &Client;
  Options Settings;
  std::vector<Span> Waiting;
  std::uint64_t Dropped = 0;
  bool UnderWay = false;
  io::Timer Period;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

Tracer::Tracer(io::EventLoop &Loop, io::HttpClient &Client, Options Settings)
    : Impl(std::make_unique<Exporter>(Loop, Client, std::move(Settings))) {}

Tracer::~Tracer() = default;

void Tracer::record(Span Finished) {
  if (Impl->Settings.Url.empty() || !Finished.Context.Sampled)
    return;
  if (Impl->Waiting.size() >= MaxWaiting) {
    ++Impl->Dropped;
    return;
  }
  const bool First = Impl->Waiting.empty();
  Impl->Waiting.push_back(std::move(Finished));
  if (First && !Impl->UnderWay)
    Impl->Period.arm(Impl->Loop.now().Mono + ExportPeriod);
}

void Tracer::flush() { Impl->send(); }

std::size_t Tracer::waiting() const { return Impl->Waiting.size(); }

std::uint64_t Tracer::dropped() const { return Impl->Dropped; }

void Tracer::Exporter::send() {
  if (UnderWay || Waiting.empty())
    return;
  UnderWay = true;
  const std::size_t Count = std::min(Waiting.size(), MaxBatch);
  const auto Last = Waiting.begin() + static_cast<std::ptrdiff_t>(Count);
  const std::vector<Span> Batch(Waiting.begin(), Last);
  Waiting.erase(Waiting.begin(), Last);
  io::HttpClient::Request What;
  What.Method = "POST";
  What.Url = Settings.Url;
  What.Fields = {{"Content-Type", "application/json"}};
  What.Deadline = Loop.now().Mono + ExportDeadline;
  const std::weak_ptr<bool> Living = Alive;
  Client.fetch(
      std::move(What), toOtlpJson(Settings.Service, Settings.Instance, Batch),
      [this, Living, Count](io::ClientEnd, int Status, const std::string &) {
        if (!Living.expired())
          done(Count, Status);
      });
}

void Tracer::Exporter::done(std::size_t Count, int Status) {
  UnderWay = false;
  // A lost batch is not sent again, so that a receiver that is down does not
  // hold spans in memory.
  if (Status < 200 || Status > 299)
    Dropped += Count;
  if (!Waiting.empty())
    Period.arm(Loop.now().Mono + ExportPeriod);
}

} // namespace filbertvane::observe
