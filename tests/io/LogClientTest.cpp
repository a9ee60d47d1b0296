#include "filbertvane/io/LogClient.h"
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace filbertvane;
using namespace filbertvane::io;
using nlohmann::json;

namespace {

/// Answers each request at once with what the test states.
class FakeHttp : public HttpClient {
public:
  std::unique_ptr<ClientRequest> send(Request, ClientHandler &) override {
    return nullptr;
  }
  void fetch(Request What, std::string Body,
             std::function<void(ClientEnd, int, std::string)> Done) override {
    Asked = std::move(What);
    Sent = std::move(Body);
    Done(End, Status, Answer);
  }

  const Options &options() const override { return Settings; }

  Options Settings;
  ClientEnd End = ClientEnd::Complete;
  int Status = 200;
  std::string Answer;
  Request Asked;
  std::string Sent;
};

std::string cbor(const json &Value) {
  const auto Bytes = json::to_cbor(Value);
  return {Bytes.begin(), Bytes.end()};
}

core::Result<LogRead> readFrom(FakeHttp &Http) {
  core::Result<LogRead> Out = core::Error{};
  LogClient(Http, "http://127.0.0.1:9")
      .read("config", core::LogOffset(7), core::Milliseconds(500), 1000,
            core::TimePoint(core::Seconds(1)),
            [&](core::Result<LogRead> Read) { Out = std::move(Read); });
  return Out;
}

core::Result<core::LogOffset> appendTo(FakeHttp &Http) {
  core::Result<core::LogOffset> Out = core::Error{};
  LogClient(Http, "http://127.0.0.1:9")
      .append(
          "config", "abc", core::TimePoint(core::Seconds(3)),
          [&](const core::Result<core::LogOffset> &Offset) { Out = Offset; });
  return Out;
}

} // namespace

Test(log_client, an_append_sends_the_record_and_yields_its_offset) {
  FakeHttp Http;
  Http.Answer = "{\"offset\":12}";
  const auto Offset = appendTo(Http);
  cr_assert(core::ok(Offset));
  cr_assert(core::value(Offset) == core::LogOffset(12));
  cr_assert(Http.Asked.Method == "POST");
  cr_assert(Http.Asked.Url == "http://127.0.0.1:9/streams/config");
  cr_assert(Http.Asked.ContentLength == 3U);
  cr_assert(Http.Asked.Deadline == core::TimePoint(core::Seconds(3)));
  cr_assert(Http.Sent == "abc");
}

// Guards against a writer that takes an unanswered append for one without
// effect, or repeats one that the log will never take.
Test(log_client, failed_appends_tell_whether_to_read_back) {
  FakeHttp Http;
  Http.Answer = "{\"offset\":12}";
  Http.End = ClientEnd::TimedOut;
  cr_assert(core::failure(appendTo(Http)).Code ==
            core::ErrorCode::LogUnavailable);
  Http.End = ClientEnd::Complete;
  for (const int Status : {429, 500, 503}) {
    Http.Status = Status;
    cr_assert(core::failure(appendTo(Http)).Code ==
              core::ErrorCode::LogUnavailable);
  }
  Http.Status = 413;
  cr_assert(core::failure(appendTo(Http)).Code == core::ErrorCode::LogRejected);
  Http.Status = 200;
  Http.Answer = "{\"offset\":-1}";
  cr_assert(core::failure(appendTo(Http)).Code ==
            core::ErrorCode::LogUnavailable);
}

Test(log_client, a_read_yields_the_records_in_order) {
  FakeHttp Http;
  Http.Answer = cbor({{"first", 7},
                      {"next", 9},
                      {"records", {json::binary({1, 0}), json::binary({})}}});
  const auto Read = readFrom(Http);
  cr_assert(core::ok(Read));
  const LogRead Expected{core::LogOffset(7),
                         core::LogOffset(9),
                         {std::string("\x01\0", 2), ""},
                         false};
  cr_assert(core::value(Read) == Expected);
  cr_assert(Http.Asked.Url == "http://127.0.0.1:9/streams/config?from=7&"
                              "wait_ms=500&max_bytes=1000");
  // Now, the wait of 500 ms and the allowance of 2 s.
  cr_assert(Http.Asked.Deadline == core::TimePoint(core::Milliseconds(3500)));
}

// Guards against a reader that goes on over a gap of trimmed records.
Test(log_client, a_trimmed_position_yields_the_oldest_offset) {
  FakeHttp Http;
  Http.Status = 410;
  Http.Answer = cbor({{"first", 40}});
  const auto Read = readFrom(Http);
  cr_assert(core::ok(Read));
  cr_assert(core::value(Read).Trimmed);
  cr_assert(core::value(Read).First == core::LogOffset(40));
}

// Guards against an answer that announces more elements than memory can hold
// (found by the property below with seed 2).
Test(log_client, an_impossible_size_is_a_malformed_answer) {
  for (const char *Body : {"\x9B"
                           "aaaaaaaa",
                           "\xBB"
                           "aaaaaaaa"})
    cr_assert(!core::ok(parseRead(200, Body)));
}

// Guards against records that get other offsets than they have in the log.
Test(log_client, an_answer_whose_count_differs_is_refused) {
  FakeHttp Http;
  Http.Answer = cbor({{"first", 7}, {"next", 9}, {"records", json::array()}});
  const auto Read = readFrom(Http);
  cr_assert(!core::ok(Read));
  cr_assert(core::failure(Read).Code == core::ErrorCode::LogUnavailable);
}

Test(log_client, random_answers_never_crash_the_client) {
  cr_assert(rc::check("answers", [](const std::string &Body) {
    for (const int Status : {200, 410}) {
      (void)parseRead(Status, Body);
      (void)parseAppend(Status, Body);
    }
  }));
}
