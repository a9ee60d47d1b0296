#include "../io/HttpFixture.h"
#include "filbertvane/observe/Tracer.h"
#include <nlohmann/json.hpp>

using namespace filbertvane;
using namespace filbertvane::test;
using observe::parseTraceParent;

namespace {

const std::string Valid =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

observe::Span spanOf(core::Random &Ids) {
  observe::Span Made;
  Made.Context = observe::childOf(std::nullopt, Ids);
  Made.Name = "GET /";
  Made.Begin = core::WallTime(core::Milliseconds(1000));
  Made.End = core::WallTime(core::Milliseconds(1500));
  Made.Attributes = {{"http.route", "bad \xff byte"}};
  return Made;
}

} // namespace

// Guards against traces that break at a node.
Test(trace, a_valid_header_is_continued) {
  core::Random Ids(1);
  const auto Parent = parseTraceParent(Valid);
  cr_assert(Parent && Parent->Sampled);
  cr_assert(observe::toTraceParent(*Parent) == Valid);
  const auto Child = observe::childOf(Parent, Ids);
  cr_assert(Child.TraceId == Parent->TraceId);
  cr_assert(Child.SpanId != Parent->SpanId);
  cr_assert(parseTraceParent(observe::toTraceParent(Child)) == Child);
  cr_assert(!parseTraceParent(Valid.substr(0, 54) + "0")->Sampled);
  cr_assert(parseTraceParent("cc" + Valid.substr(2) + "-later"));
}

// Guards against ids that other systems reject.
Test(trace, malformed_headers_are_ignored) {
  const std::string Zeros(32, '0');
  for (const std::string &Bad :
       {std::string(), Valid.substr(0, 53), Valid.substr(0, 54),
        Valid.substr(1), Valid + "-x", "ff" + Valid.substr(2),
        "00-" + Zeros + Valid.substr(35),
        Valid.substr(0, 36) + Zeros.substr(16) + "-01",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736" + Valid.substr(35)})
    cr_assert(!parseTraceParent(Bad), "%s", Bad.c_str());
}

// Guards against reads outside a header of any content.
Test(trace, random_bytes_never_parse_to_an_invalid_context) {
  core::Random Bytes(42);
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Text = Valid;
    Text.resize(Bytes.below(70), static_cast<char>(Bytes.next()));
    for (std::uint64_t Changes = Bytes.below(4); Changes > 0; --Changes)
      if (!Text.empty())
        Text[Bytes.below(Text.size())] = static_cast<char>(Bytes.next());
    const auto Parsed = parseTraceParent(Text);
    if (!Parsed)
      continue;
    cr_assert(parseTraceParent(observe::toTraceParent(*Parsed)) == Parsed);
    cr_assert(Text.substr(3, 32) == Parsed->TraceId);
  }
}

// Guards against spans that never reach the receiver, or in a wrong form.
Test(trace, spans_are_exported_as_otlp_json) {
  BoundedLoop Bounded;
  std::string Body;
  const auto Receiver = listenOn(Bounded.Loop, [&](io::ServerExchange &E) {
    auto Handler = std::make_unique<ServerHandler>();
    Handler->Body = [&](std::string_view Part) { Body += Part; };
    Handler->BodyEnd = [&E] { E.respond(200, "{}"); };
    Handler->Closed = [&](bool) { Bounded.stop(); };
    return Handler;
  });
  const auto Client = io::HttpClient::create(Bounded.Loop, {});
  observe::Tracer::Options Settings;
  Settings.Url = urlOf(Receiver->port(), "/v1/traces");
  observe::Tracer Tracer(Bounded.Loop, *Client, Settings);
  core::Random Ids(1);
  const observe::Span Sent = spanOf(Ids);
  Tracer.record(Sent);
  Bounded.run();
  const auto Root = nlohmann::json::parse(Body, nullptr, false);
  cr_assert(!Root.is_discarded(), "%s", Body.c_str());
  const auto &Got = Root["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
  cr_assert(Got["traceId"] == Sent.Context.TraceId);
  cr_assert(Got["spanId"] == Sent.Context.SpanId);
  cr_assert(Got["startTimeUnixNano"] == "1000000000");
  cr_assert(Got["endTimeUnixNano"] == "1500000000");
  cr_assert(Tracer.dropped() == 0 && Tracer.waiting() == 0);
}

// Guards against memory that grows while the receiver is down, and against
// spans kept although no receiver is set.
Test(trace, waiting_spans_are_bounded) {
  BoundedLoop Bounded;
  const auto Client = io::HttpClient::create(Bounded.Loop, {});
  observe::Tracer::Options Settings;
  observe::Tracer Off(Bounded.Loop, *Client, Settings);
  Settings.Url = "http://127.0.0.1:1/";
  observe::Tracer On(Bounded.Loop, *Client, Settings);
  core::Random Ids(1);
  for (std::size_t I = 0; I < observe::Tracer::MaxWaiting + 5; ++I) {
    On.record(spanOf(Ids));
    Off.record(spanOf(Ids));
  }
  cr_assert(On.waiting() == observe::Tracer::MaxWaiting);
  cr_assert(On.dropped() == 5);
  cr_assert(Off.waiting() == 0);
}
