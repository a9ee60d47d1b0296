#include "KeptAnswerCodec.h"
#include "../Cbor.h"
#include "ProxyHeaders.h"
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace filbertvane::io {

using nlohmann::json;

std::string encodeAnswer(const StoredAnswer &Answer) {
  json Fields = json::array();
  for (const auto &[Name, Value] : Answer.Fields)
    Fields.push_back({Name, Value});
  const json Whole = {
      {"status", Answer.Status},
      {"fields", std::move(Fields)},
      {"body", json::binary({Answer.Body.begin(), Answer.Body.end()})}};
  const std::vector<std::uint8_t> Bytes = json::to_cbor(Whole);
  return {Bytes.begin(), Bytes.end()};
}

std::optional<StoredAnswer> decodeAnswer(std::string_view Bytes) {
  const json Whole = fromCbor(Bytes);
  if (!Whole.is_object() || !Whole.contains("status") ||
      !Whole["status"].is_number_integer() || !Whole.contains("fields") ||
      !Whole["fields"].is_array() || !Whole.contains("body") ||
      !Whole["body"].is_binary())
    return std::nullopt;
  StoredAnswer Answer;
  Answer.Status = Whole["status"].get<int>();
  for (const json &Field : Whole["fields"]) {
    if (!Field.is_array() || Field.size() != 2 || !Field[0].is_string() ||
        !Field[1].is_string())
      return std::nullopt;
    Answer.Fields.emplace(Field[0].get<std::string>(),
                          Field[1].get<std::string>());
  }
  const auto &Body = Whole["body"].get_binary();
  Answer.Body.assign(Body.begin(), Body.end());
  return Answer;
}

std::string formatOwner(const decision::request::ClaimOwner &Owner) {
  return fmt::format("{}/{}/{}", Owner.Node.value(), Owner.Incarnation.value(),
                     Owner.Call.value());
}

std::optional<decision::request::ClaimOwner> parseOwner(std::string_view Text) {
  const std::size_t Last = Text.rfind('/');
  if (Last == std::string_view::npos || Last == 0)
    return std::nullopt;
  const std::size_t Middle = Text.rfind('/', Last - 1);
  if (Middle == std::string_view::npos)
    return std::nullopt;
  const auto Start =
      proxy::parseNumber(Text.substr(Middle + 1, Last - Middle - 1));
  const auto Call = proxy::parseNumber(Text.substr(Last + 1));
  if (!Start || !Call)
    return std::nullopt;
  return decision::request::ClaimOwner{
      core::NodeId(std::string(Text.substr(0, Middle))),
      core::Incarnation(*Start), core::CallId(*Call)};
}

} // namespace filbertvane::io
