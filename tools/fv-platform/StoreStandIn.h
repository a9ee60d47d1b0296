#ifndef FILBERTVANE_TOOLS_FV_PLATFORM_STORESTANDIN_H
#define FILBERTVANE_TOOLS_FV_PLATFORM_STORESTANDIN_H

#include "filbertvane/io/HttpServer.h"
#include <map>
#include <set>
#include <vector>

namespace filbertvane::tools {

/// @brief How the store answers.
enum class StoreMode {
  Sound,
  /// 503 to each call; nothing is done.
  Busy,
  /// No answer; nothing is done.
  Silent,
  /// Calls are done, and their connections close without an answer.
  LosesAnswers,
};

/// @brief Stand-in of the platform's store, by its published calls.
///
/// Partition 0 of keyed topics: append, read with waiting, newest of each key.
class StoreStandIn {
  struct Record {
    std::uint64_t Offset = 0;
    std::string Key;
    std::string Value;
  };
  struct Topic {
    std::uint64_t End = 0;
    std::uint64_t First = 0;
    std::vector<Record> Records;
    std::map<std::string, Record> Newest;
  };

public:
  /// @brief Contents of the store at one time.
  class Copy {
    friend class StoreStandIn;
    std::map<std::string, Topic> Topics;
  };

  StoreStandIn(io::EventLoop &Loop, const std::string &Address);
  ~StoreStandIn();
  StoreStandIn(const StoreStandIn &) = delete;
  StoreStandIn &operator=(const StoreStandIn &) = delete;

  /// @brief Whether the address could be bound.
  bool open() const { return Server != nullptr; }
  std::uint16_t port() const { return Server->port(); }

  /// @name Faults
  /// @{
  void setMode(StoreMode Mode);
  /// @brief Drops all but the newest record of each key.
  void forgetHistory();
  Copy copy() const;
  /// @brief Goes back to a copy: later records are gone, their offsets are
  ///        given out again, and answers name the next era.
  void restore(const Copy &Older);
  /// @brief Sets the era that answers name.
  void nameEra(std::uint64_t Named) { Era = Named; }
  /// @}

  /// @name Contents
  /// @{
  /// @return the offset of the record
  std::uint64_t put(const std::string &Topic, const std::string &Key,
                    const std::string &Value);
  /// @return empty when there is none
  std::string newest(const std::string &Topic, const std::string &Key) const;
  std::uint64_t calls() const { return Calls; }
  /// @return number of reads of a list of newest records
  std::uint64_t listReads() const { return ListReads; }
  /// @}

private:
  class Exchange;
  using Query = std::map<std::string, std::string>;

  void take(Exchange &Who);
  void append(Exchange &Who, const Query &Words);
  void read(Exchange &Who, const Query &Words);
  void newestOf(Exchange &Who, const Query &Words);
  /// @brief Whether a read may begin at an offset.
  static bool holds(const Topic &From, std::uint64_t Offset);
  void answerRead(Exchange &Who, const Topic &From, std::uint64_t Offset);
  void wakeReaders();
  void respond(Exchange &Who, int Status, std::string_view Body);

  io::EventLoop &Loop;
  std::unique_ptr<io::HttpServer> Server;
  StoreMode Mode = StoreMode::Sound;
  std::map<std::string, Topic> Topics;
  std::set<Exchange *> Waiting;
  std::uint64_t Calls = 0;
  std::uint64_t ListReads = 0;
  std::uint64_t Era = 1;
  io::Timer Tick;
};

} // namespace filbertvane::tools

#endif // FILBERTVANE_TOOLS_FV_PLATFORM_STORESTANDIN_H
