// Stand-ins of the platform for the cases of this review: its store, its
// settings files, an HTTP client and the start and end of processes. Plain
// POSIX and C++17; nothing beside the C++ library is needed.
#ifndef REVIEW_STANDINS_H
#define REVIEW_STANDINS_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

inline double now() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline long long wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void pause(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}
inline std::string text(const char *Format, ...)
    __attribute__((format(printf, 1, 2)));
inline std::string text(const char *Format, ...) {
  char Line[4096];
  va_list Args;
  va_start(Args, Format);
  vsnprintf(Line, sizeof Line, Format, Args);
  va_end(Args);
  return Line;
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with the time since the start.
class Record {
public:
  explicit Record(const std::string &Path)
      : File(fopen(Path.c_str(), "w")), Start(now()) {}
  ~Record() {
    if (File)
      fclose(File);
  }
  void line(const std::string &What) {
    const std::lock_guard<std::mutex> Hold(Lock);
    if (!File)
      return;
    fprintf(File, "%9.3f %s\n", now() - Start, What.c_str());
    fflush(File);
  }

private:
  std::mutex Lock;
  FILE *File;
  double Start;
};

// ---------------------------------------------------------------- sockets

inline int listenAt(const std::string &Ip, int Port) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &To.sin_addr);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&To), sizeof To) != 0 ||
      listen(Fd, 512) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}

inline int connectTo(const std::string &Ip, int Port, double Seconds = 1) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Fd < 0)
    return -1;
  timeval Time{static_cast<time_t>(Seconds),
               static_cast<suseconds_t>((Seconds - int(Seconds)) * 1e6)};
  setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &Time, sizeof Time);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &To.sin_addr);
  if (connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof To) != 0) {
    close(Fd);
    return -1;
  }
  int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return Fd;
}

inline void readTimeout(int Fd, double Seconds) {
  timeval Time{static_cast<time_t>(Seconds),
               static_cast<suseconds_t>((Seconds - int(Seconds)) * 1e6)};
  setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof Time);
}

inline bool sendAll(int Fd, const char *Bytes, size_t Size) {
  while (Size > 0) {
    const ssize_t Count = send(Fd, Bytes, Size, MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return false;
    Bytes += Count;
    Size -= static_cast<size_t>(Count);
  }
  return true;
}
inline bool sendAll(int Fd, const std::string &Bytes) {
  return sendAll(Fd, Bytes.data(), Bytes.size());
}

// ---------------------------------------------------------------- messages

struct Head {
  std::string First;
  std::map<std::string, std::string> Fields; // names in lower case
  std::string field(const std::string &Name) const {
    const auto Found = Fields.find(Name);
    return Found == Fields.end() ? "" : Found->second;
  }
  /// Status of an answer.
  int status() const { return First.size() > 12 ? atoi(First.c_str() + 9) : 0; }
  /// Path of a request.
  std::string path() const {
    const size_t A = First.find(' ');
    const size_t B = First.find(' ', A + 1);
    return A == std::string::npos ? "" : First.substr(A + 1, B - A - 1);
  }
};

/// A connection with the bytes that were read too far.
struct Wire {
  int Fd = -1;
  std::string Input;

  /// @return false at the end of the stream or on a failure
  bool more() {
    char Block[65536];
    const ssize_t Count = recv(Fd, Block, sizeof Block, 0);
    if (Count <= 0)
      return false;
    Input.append(Block, static_cast<size_t>(Count));
    return true;
  }
  bool readHead(Head &Into) {
    size_t End;
    while ((End = Input.find("\r\n\r\n")) == std::string::npos)
      if (!more())
        return false;
    std::string All = Input.substr(0, End + 2);
    Input.erase(0, End + 4);
    Into = {};
    size_t At = All.find("\r\n");
    Into.First = All.substr(0, At);
    for (At += 2; At < All.size();) {
      const size_t Next = All.find("\r\n", At);
      const std::string Line = All.substr(At, Next - At);
      At = Next + 2;
      const size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::string Name = Line.substr(0, Colon);
      for (char &Byte : Name)
        Byte = static_cast<char>(tolower(Byte));
      size_t From = Colon + 1;
      while (From < Line.size() && Line[From] == ' ')
        ++From;
      Into.Fields[Name] = Line.substr(From);
    }
    return true;
  }
  /// Reads a body with a length or in chunks.
  /// @param OnPart gets each part
  /// @return whether the body is whole
  bool readBody(const Head &Of,
                const std::function<void(const char *, size_t)> &OnPart) {
    const auto Take = [&](size_t Size) {
      while (Size > 0) {
        if (Input.empty() && !more())
          return false;
        const size_t Part = std::min(Size, Input.size());
        OnPart(Input.data(), Part);
        Input.erase(0, Part);
        Size -= Part;
      }
      return true;
    };
    if (Of.Fields.count("content-length"))
      return Take(std::stoull(Of.field("content-length")));
    if (Of.field("transfer-encoding") != "chunked")
      return true;
    while (true) {
      size_t End;
      while ((End = Input.find("\r\n")) == std::string::npos)
        if (!more())
          return false;
      const size_t Size = std::stoull(Input.substr(0, End), nullptr, 16);
      Input.erase(0, End + 2);
      if (!Take(Size))
        return false;
      while (Input.size() < 2)
        if (!more())
          return false;
      Input.erase(0, 2);
      if (Size == 0)
        return true;
    }
  }
  bool readBody(const Head &Of, std::string &Into) {
    Into.clear();
    return readBody(
        Of, [&](const char *Bytes, size_t Size) { Into.append(Bytes, Size); });
  }
};

inline bool answer(int Fd, int Status, const std::string &Body,
                   const std::string &Fields = "") {
  return sendAll(Fd, text("HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n",
                          Status, Fields.c_str(), Body.size()) +
                         Body);
}

/// Serves each connection in a thread of its own until the process ends.
inline bool serve(const std::string &Ip, int Port,
                  std::function<void(int)> OnConnection) {
  const int Listening = listenAt(Ip, Port);
  if (Listening < 0)
    return false;
  std::thread([Listening, OnConnection = std::move(OnConnection)] {
    while (true) {
      const int Fd = accept4(Listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED)
          continue;
        return;
      }
      int On = 1;
      setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      std::thread([Fd, OnConnection] {
        OnConnection(Fd);
        close(Fd);
      }).detach();
    }
  }).detach();
  return true;
}

// ---------------------------------------------------------------- store

/// The platform's store: keyed topics with one partition.
class Store {
public:
  bool open(const std::string &Ip, int Port) {
    return serve(Ip, Port, [this](int Fd) { connection(Fd); });
  }
  unsigned long long put(const std::string &Topic, const std::string &Key,
                         const std::string &Value) {
    const std::lock_guard<std::mutex> Hold(Lock);
    return append(Topics[Topic], Key, Value);
  }
  std::string newest(const std::string &Topic, const std::string &Key) {
    const std::lock_guard<std::mutex> Hold(Lock);
    auto &Of = Topics[Topic].Newest;
    const auto Found = Of.find(Key);
    return Found == Of.end() ? "" : Found->second.Value;
  }
  size_t keys(const std::string &Topic) {
    const std::lock_guard<std::mutex> Hold(Lock);
    return Topics[Topic].Newest.size();
  }

private:
  struct Item {
    unsigned long long Offset;
    std::string Key, Value;
  };
  struct Log {
    std::vector<Item> Items;
    std::map<std::string, Item> Newest;
  };

  unsigned long long append(Log &To, const std::string &Key,
                            const std::string &Value) {
    Item New{To.Items.size(), Key, Value};
    To.Items.push_back(New);
    if (Value.empty())
      To.Newest.erase(Key);
    else
      To.Newest[Key] = New;
    Changed.notify_all();
    return New.Offset;
  }
  static std::string bigEndian(unsigned long long Number, int Bytes) {
    std::string Out;
    for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
      Out.push_back(static_cast<char>((Number >> Shift) & 0xff));
    return Out;
  }
  static std::string base64(const std::string &Bytes) {
    static const char *Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
                                "uvwxyz0123456789+/";
    std::string Out;
    for (size_t I = 0; I < Bytes.size(); I += 3) {
      unsigned Group = 0;
      for (size_t K = 0; K < 3; ++K)
        Group = Group << 8 |
                (I + K < Bytes.size() ? static_cast<unsigned char>(Bytes[I + K])
                                      : 0U);
      for (size_t K = 0; K < 4; ++K)
        Out.push_back(I + K <= Bytes.size() ? Digits[Group >> (18 - 6 * K) & 63]
                                            : '=');
    }
    return Out;
  }
  static std::map<std::string, std::string> query(const std::string &Path) {
    std::map<std::string, std::string> Words;
    size_t At = Path.find('?');
    while (At != std::string::npos && At + 1 < Path.size()) {
      const size_t Next = Path.find('&', ++At);
      const std::string Word = Path.substr(At, Next - At);
      const size_t Equals = Word.find('=');
      if (Equals != std::string::npos)
        Words[Word.substr(0, Equals)] = Word.substr(Equals + 1);
      At = Next;
    }
    return Words;
  }
  void connection(int Fd) {
    Wire In{Fd, {}};
    Head Asked;
    std::string Body;
    while (In.readHead(Asked) && In.readBody(Asked, Body))
      if (!take(Fd, Asked, Body))
        return;
  }
  bool take(int Fd, const Head &Asked, const std::string &Body) {
    const std::string Path = Asked.path();
    auto Words = query(Path);
    std::unique_lock<std::mutex> Hold(Lock);
    Log &Of = Topics[Words["topic"]];
    std::string Out;
    int Status = 200;
    if (Path.rfind("/v1/log-append?", 0) == 0) {
      if (Words.count("at") && std::stoull(Words["at"]) != Of.Items.size()) {
        Status = 412;
        Out = text("{\"end\":%zu}", Of.Items.size());
      } else {
        const size_t First = Of.Items.size();
        for (size_t At = 0; At + 4 < Body.size();) {
          size_t Size = 0;
          for (int I = 0; I < 4; ++I)
            Size = Size << 8 | static_cast<unsigned char>(Body[At++]);
          const size_t KeySize = static_cast<unsigned char>(Body[At]);
          append(Of, Body.substr(At + 1, KeySize),
                 Body.substr(At + 1 + KeySize, Size - 1 - KeySize));
          At += Size;
        }
        Out = text("{\"offset\":%zu,\"end\":%zu}", First, Of.Items.size());
      }
    } else if (Path.rfind("/v1/log-read?", 0) == 0) {
      const size_t From = std::stoull(Words["from"]);
      const long Wait =
          Words.count("wait_ms") ? std::stol(Words["wait_ms"]) : 0;
      Changed.wait_for(Hold, std::chrono::milliseconds(Wait),
                       [&] { return Of.Items.size() > From; });
      Out = bigEndian(Of.Items.size(), 8) + bigEndian(0, 8);
      for (size_t I = From; I < Of.Items.size(); ++I) {
        const Item &Each = Of.Items[I];
        Out += bigEndian(1 + Each.Key.size() + Each.Value.size(), 4);
        Out.push_back(static_cast<char>(Each.Key.size()));
        Out += Each.Key + Each.Value;
      }
    } else if (Path.rfind("/v1/log-newest?", 0) == 0) {
      Out = "{\"items\":[";
      bool First = true;
      for (const auto &[Key, Each] : Of.Newest) {
        if (Words.count("after") && Key <= Words["after"])
          continue;
        Out += text("%s{\"key\":\"%s\",\"offset\":%llu,\"value\":\"",
                    First ? "" : ",", Key.c_str(), Each.Offset);
        Out += base64(Each.Value) + "\"}";
        First = false;
      }
      Out += text("],\"more\":false,\"end\":%zu}", Of.Items.size());
    } else {
      Status = 404;
    }
    Hold.unlock();
    return answer(Fd, Status, Out, "Content-Type: application/json\r\n");
  }

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Log> Topics;
};

// ---------------------------------------------------------------- processes

inline void raiseDescriptors() {
  rlimit Limit{};
  getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = std::min<rlim_t>(Limit.rlim_max, 8192);
  setrlimit(RLIMIT_NOFILE, &Limit);
}

/// Starts a program with its output in a file.
inline pid_t start(const std::vector<std::string> &Words,
                   const std::string &Config, const std::string &Output) {
  const pid_t Child = fork();
  if (Child != 0)
    return Child;
  if (!Config.empty())
    setenv("FILBERTVANE_CONFIG", Config.c_str(), 1);
  const int Fd =
      open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(Fd, 1);
  dup2(Fd, 2);
  std::vector<char *> Args;
  for (const std::string &Word : Words)
    Args.push_back(const_cast<char *>(Word.c_str()));
  Args.push_back(nullptr);
  execv(Args[0], Args.data());
  _exit(127);
}

/// Ends a process that this program started.
inline void end(pid_t &Child, int Signal) {
  if (Child <= 0)
    return;
  kill(Child, Signal);
  int Status = 0;
  waitpid(Child, &Status, 0);
  Child = 0;
}

/// A network 127.x.y.0 that no other run is likely to use.
inline std::string network() {
  const unsigned Draw =
      static_cast<unsigned>(wallMs()) ^ (static_cast<unsigned>(getpid()) << 7);
  return text("127.%u.%u", 10 + Draw % 200, 1 + Draw / 200 % 250);
}

struct Machine {
  std::string Node, Zone, Region, Ip, Service;
};

/// Settings of a process, with the names and figures of DEPLOY.md.
inline void writeSettings(const std::string &Path, const Machine &Of,
                          const std::string &Store, bool FirstStart) {
  FILE *File = fopen(Path.c_str(), "w");
  const char *Ip = Of.Ip.c_str();
  fprintf(File,
          "node_id=%s\nrole=node\nnode_class=sidecar\nserves=sidecar\nip=%s\n"
          "zone=%s\nregion=%s\nzones.%s=%s\n",
          Of.Node.c_str(), Ip, Of.Zone.c_str(), Of.Region.c_str(),
          Of.Zone.c_str(), Of.Region.c_str());
  fprintf(File,
          "listen.inbound=%s:8300\nlisten.outbound=%s:8304\n"
          "listen.ready=%s:8302\nlisten.control=%s:8306\n"
          "internal_ports=7620,7635\nseeds=\nbootstrap=%s\n"
          "fault_counted=false\n",
          Ip, Ip, Ip, Ip, FirstStart ? "true" : "false");
  fprintf(
      File,
      "limits.cpu_share=0.2\nlimits.cpu_cores=1\nlimits.memory_mb=260\n"
      "limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
      "discovery=static\ningress=static\nheartbeat=1500ms\n"
      "contracts=base,drain,config,cost,retry,recover,rollout,platform\n"
      "bounds.stable_window=3000ms\nbounds.ack=4000ms\nbounds.drain=2500ms\n"
      "bounds.grace=6s\nbounds.loss_slack=200ms\n"
      "bounds.config_apply=2500ms\nbounds.retry_budget_ratio=0.2\n"
      "bounds.budget_window=10s\nbounds.budget_slack=64\n"
      "bounds.rollback=5000ms\nbounds.recover=15s\n"
      "app_addr=%s:8301\nservice=%s\nplatform.address=%s\n"
      "platform.form=log\n",
      Ip, Of.Service.c_str(), Store.c_str());
  fclose(File);
}

inline bool isReady(const std::string &Ip) {
  const int Fd = connectTo(Ip, 8302);
  if (Fd < 0)
    return false;
  readTimeout(Fd, 1);
  sendAll(Fd, "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
  Wire In{Fd, {}};
  Head Got;
  const bool Answered = In.readHead(Got) && Got.status() == 200;
  close(Fd);
  return Answered;
}

/// One call of an instance to the node beside it.
/// @return the status, 0 without an answer
inline int control(const std::string &Ip, const std::string &Path,
                   const std::string &Body) {
  const int Fd = connectTo(Ip, 8306);
  if (Fd < 0)
    return 0;
  readTimeout(Fd, 1);
  sendAll(Fd, text("POST %s HTTP/1.1\r\nHost: control\r\nContent-Type: "
                   "application/json\r\nContent-Length: %zu\r\n\r\n",
                   Path.c_str(), Body.size()) +
                  Body);
  Wire In{Fd, {}};
  Head Got;
  const int Status = In.readHead(Got) ? Got.status() : 0;
  close(Fd);
  return Status;
}

} // namespace review

#endif
