#include "filbertvane/config/TextFile.h"
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fmt/format.h>
#include <memory>

namespace filbertvane::config {

core::Result<std::string> readTextFile(const std::string &File,
                                       core::ErrorCode OnFailure) {
  const auto Close = [](std::FILE *Handle) { std::fclose(Handle); };
  const std::unique_ptr<std::FILE, decltype(Close)> Input(
      std::fopen(File.c_str(), "rb"), Close);
  if (!Input)
    return core::Error{OnFailure,
                       fmt::format("{}: {}", File, std::strerror(errno))};
  std::string Text;
  std::array<char, 16384> Buffer{};
  while (const std::size_t Count =
             std::fread(Buffer.data(), 1, Buffer.size(), Input.get())) {
    Text.append(Buffer.data(), Count);
    if (Text.size() > MaxFileBytes)
      return core::Error{OnFailure, fmt::format("{}: larger than {} bytes",
                                                File, MaxFileBytes)};
  }
  if (std::ferror(Input.get()))
    return core::Error{OnFailure, fmt::format("{}: read failed", File)};
  return Text;
}

} // namespace filbertvane::config
