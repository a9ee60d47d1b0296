#include "filbertvane/io/HttpServer.h"
#include <algorithm>
#include <cctype>

namespace filbertvane::io {

bool HeaderNameLess::operator()(const std::string &A,
                                const std::string &B) const {
  const auto Less = [](unsigned char X, unsigned char Y) {
    return std::tolower(X) < std::tolower(Y);
  };
  return std::lexicographical_compare(A.begin(), A.end(), B.begin(), B.end(),
                                      Less);
}

std::optional<std::string> headerOf(const Headers &All,
                                    const std::string &Name) {
  const auto Found = All.find(Name);
  if (Found == All.end())
    return std::nullopt;
  return Found->second;
}

void ServerExchange::respond(int Status, std::string_view Body,
                             Headers Fields) {
  start({Status, std::move(Fields)}, Body.size());
  if (!Body.empty())
    write(Body);
  finish();
}

} // namespace filbertvane::io
