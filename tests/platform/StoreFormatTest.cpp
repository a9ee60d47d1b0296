#include "platform/StoreFormat.h"
#include "../io/HttpFixture.h"
#include "../io/RawPeer.h"
#include "../io/ResidentMemory.h"
#include "platform/Store.h"
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace filbertvane;
using core::ErrorCode;

namespace {

constexpr std::uint64_t Era = 2;

io::mesh::StorePosition position(std::uint64_t Offset) {
  return {core::StoreEra(Era), core::LogOffset(Offset)};
}

core::Result<platform::NewestPage> parseNewest(std::string_view Body) {
  return platform::parseNewest(Body, core::StoreEra(Era));
}

std::string offsets(std::uint64_t End) {
  std::string Bytes(16, '\0');
  Bytes[7] = static_cast<char>(End);
  return Bytes;
}

} // namespace

// Guards against records that are taken for others, or lost.
Test(platform_store, a_read_yields_keys_values_and_offsets) {
  const std::string Body = offsets(9) + platform::formatKeyed("config", "abc") +
                           platform::formatKeyed("rollout/s", "");
  const auto Read = platform::parseRead(Body, position(7));
  cr_assert(core::ok(Read));
  const auto &Records = core::value(Read).Records;
  cr_assert(Records.size() == 2);
  cr_assert(Records[0].Key == "config" && Records[0].Value == "abc");
  cr_assert(Records[0].Position == position(7));
  cr_assert(Records[1].Position == position(8));
  cr_assert(core::value(Read).Position == position(9));
}

// Guards against a position that moves past records which were not read.
Test(platform_store, a_cut_answer_is_refused) {
  const std::string Body = offsets(9) + platform::formatKeyed("config", "abc");
  for (std::size_t Size = 0; Size < Body.size(); ++Size)
    if (Size != 16)
      cr_assert(
          !core::ok(platform::parseRead(Body.substr(0, Size), position(7))),
          "%zu bytes", Size);
}

// Guards against pages that are cut off, and against values in base64 that are
// off by a byte.
Test(platform_store, pages_of_newest_records_are_read) {
  const auto Read = parseNewest(
      R"({"items":[{"key":"a","value":"YQ==","offset":4},
                   {"key":"b","value":"YWJj","offset":6}],
          "more":true,"end":9})");
  cr_assert(core::ok(Read));
  cr_assert(core::value(Read).Items[0].Value == "a");
  cr_assert(core::value(Read).Items[1].Value == "abc");
  cr_assert(core::value(Read).Next == "b");
  cr_assert(core::value(Read).End == position(9));
  cr_assert(!core::ok(parseNewest(R"({"items":[]})")));
  cr_assert(!core::ok(parseNewest(
      R"({"items":[{"key":"a","value":"!","offset":1}],"end":2})")));
}

// Guards against answers of the store that are handled as others.
Test(platform_store, statuses_are_told_apart) {
  cr_assert(platform::storeError(0, "").Code == ErrorCode::StoreUnreachable);
  cr_assert(platform::storeError(410, "").Code == ErrorCode::StoreTrimmed);
  cr_assert(platform::storeError(412, "").Code == ErrorCode::StoreConflict);
  cr_assert(platform::storeError(429, "").Code == ErrorCode::StoreBusy);
  cr_assert(platform::storeError(503, "").Code == ErrorCode::StoreBusy);
  cr_assert(platform::storeError(403, "").Code == ErrorCode::StoreRejected);
}

// Guards against a process that ends on bytes of another writer.
Test(platform_store, any_bytes_are_decoded_or_refused) {
  cr_assert(rc::check([](const std::string &Bytes) {
    parseNewest(Bytes);
    platform::parseRead(Bytes, position(0));
    platform::parseRead(offsets(1) + Bytes, position(0));
  }));
}

// Guards against an answer of the store that takes many times its size in
// memory.
Test(platform_store, a_deeply_nested_page_is_refused) {
  constexpr std::size_t Depth = std::size_t{4} * 1024 * 1024;
  constexpr std::size_t MemoryBound = std::size_t{128} * 1024 * 1024;
  const std::string Page = R"({"end":1,"items":)" + std::string(Depth, '[');
  const std::size_t Before = test::peakResidentBytes();
  cr_expect(!core::ok(parseNewest(Page)));
  const std::size_t Taken = test::peakResidentBytes() - Before;
  cr_expect(Taken <= MemoryBound, "%zu bytes of memory", Taken);
  // Brackets in a text are no levels.
  const std::string Text =
      R"({"end":1,"items":[{"key":"\"[[[[[[[[[[[[[[[[[[[[",)"
      R"("value":"","offset":0}],"more":false})";
  cr_expect(core::ok(parseNewest(Text)));
}

// Guards against a store that always tells of a further page: the pages are
// kept until the last one.
Test(platform_store, pages_without_end_are_given_up) {
  constexpr std::size_t MostPages = 64;
  test::BoundedLoop Bounded;
  std::size_t Pages = 0;
  test::RawServer Server(Bounded.Loop, [&](test::RawConnection &Connection) {
    if (Connection.Ended || !Connection.Received.ends_with("\r\n\r\n"))
      return;
    Connection.Received.clear();
    const std::string Page = fmt::format(
        R"({{"items":[{{"key":"k{}","value":"","offset":1}}],"end":9,"more":true}})",
        ++Pages);
    Connection.send(fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", Page.size(), Page));
    if (Pages > MostPages)
      Bounded.stop();
  });
  const auto Client = io::HttpClient::create(Bounded.Loop, {});
  platform::Store Store(
      Bounded.Loop, *Client,
      platform::StoreTerms{fmt::format("127.0.0.1:{}", Server.Port)});
  std::optional<ErrorCode> Fault;
  Store.readHosts([&](const auto &Read) {
    if (!core::ok(Read))
      Fault = core::failure(Read).Code;
    Bounded.stop();
  });
  Bounded.run();
  cr_expect(Fault == ErrorCode::StoreMalformed, "%zu pages", Pages);
}
