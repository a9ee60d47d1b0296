#include "Address.h"
#include <arpa/inet.h>
#include <charconv>
#include <optional>
#include <string_view>

namespace filbertvane::config {

namespace {

constexpr std::string_view Scheme = "http://";

bool isPort(std::string_view Text) {
  unsigned Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Problem] = std::from_chars(Text.data(), End, Port);
  return Problem == std::errc() && Rest == End && Port >= 1 && Port <= 65535;
}

bool isIp(int Family, const std::string &Text) {
  in6_addr Binary{};
  return inet_pton(Family, Text.c_str(), &Binary) == 1;
}

/// IP address without port and brackets; none for a malformed text.
std::optional<std::string> hostOf(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos ||
      !isPort(std::string_view(Text).substr(Colon + 1)))
    return std::nullopt;
  const std::string Host = Text.substr(0, Colon);
  if (isIp(AF_INET, Host))
    return Host;
  if (Host.size() < 2 || Host.front() != '[' || Host.back() != ']')
    return std::nullopt;
  const std::string Inner = Host.substr(1, Host.size() - 2);
  return isIp(AF_INET6, Inner) ? std::optional(Inner) : std::nullopt;
}

} // namespace

bool isSocketAddress(const std::string &Text) {
  return hostOf(Text).has_value();
}

bool isConnectableAddress(const std::string &Text) {
  const auto Host = hostOf(Text);
  return Host && *Host != "0.0.0.0" && *Host != "::";
}

bool isLoopbackAddress(const std::string &Text) {
  const auto Host = hostOf(Text);
  return Host && (Host->starts_with("127.") || *Host == "::1");
}

bool isHttpUrl(const std::string &Text, bool AllowPath) {
  if (!Text.starts_with(Scheme))
    return false;
  const std::string Rest = Text.substr(Scheme.size());
  const std::size_t Slash = Rest.find('/');
  if (Slash != std::string::npos && !AllowPath)
    return false;
  return isConnectableAddress(Rest.substr(0, Slash));
}

} // namespace filbertvane::config
