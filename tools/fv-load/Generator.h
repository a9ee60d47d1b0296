#ifndef FILBERTVANE_TOOLS_FV_LOAD_GENERATOR_H
#define FILBERTVANE_TOOLS_FV_LOAD_GENERATOR_H

#include "Results.h"
#include "filbertvane/core/Random.h"
#include "filbertvane/io/HttpClient.h"
#include <unordered_map>
#include <vector>

namespace filbertvane::tools {

/// @brief Command line of the load generator.
struct LoadOptions {
  /// `http://ip:port`, used in turn.
  std::vector<std::string> Urls;
  double Rate = 100.;
  double Seconds = 1.;
  std::string Path = "/";
  std::string Method = "GET";
  /// Bytes of the answer (GET) or of the echoed body (other methods).
  std::size_t Bytes = 0;
  bool Keys = false;
  /// Share of keyed requests that are sent a second time to the next URL.
  double RepeatRate = 0.;
  core::Milliseconds Deadline{10000};
  std::size_t MaxInFlight = 10000;
  std::uint64_t Seed = 1;
  io::Headers Fields;
  /// File for a line `key verdict` for each keyed request; empty for none.
  std::string KeysFile;
};

class Probe;

/// @brief Sends requests at a fixed rate, whatever the answers do.
class Generator {
public:
  Generator(io::EventLoop &Loop, LoadOptions Settings);
  ~Generator();

  /// @brief Sends all requests; the loop stops after the last end.
  void start();
  const Results &results() const { return Found; }

  /// @name Calls of probes
  /// @{
  const LoadOptions &options() const { return Settings; }
  io::HttpClient &client() { return *Client; }
  io::EventLoop &loop() { return Loop; }
  void ended(Probe &Done, Verdict Kind);
  /// @}

private:
  void sendDue();
  void sendOne(core::TimePoint Intended);
  void launch(const std::string &Url, const std::string &Token,
              const std::string &Key, core::TimePoint Intended);
  core::TimePoint dueAt(std::uint64_t Index) const;
  std::string newKey();
  void stopWhenDone();

  io::EventLoop &Loop;
  LoadOptions Settings;
  Results Found;
  core::Random Chance;
  std::unique_ptr<io::HttpClient> Client;
  io::Timer Next;
  core::TimePoint Begin;
  std::uint64_t Planned = 0;
  std::uint64_t Launched = 0;
  std::unordered_map<Probe *, std::unique_ptr<Probe>> Probes;
  std::FILE *Keys = nullptr;
};

} // namespace filbertvane::tools

#endif // FILBERTVANE_TOOLS_FV_LOAD_GENERATOR_H
