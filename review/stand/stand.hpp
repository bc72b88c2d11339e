// Stand-ins for the review's cases: users, workers, cloud and state service as the protocol
// describes them, and the controllers as child processes. Plain POSIX sockets and threads, one
// header, no library beside the C++ standard library.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace stand {

// --- time and record ---------------------------------------------------------------

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();
inline double now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void sleep_s(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

inline std::mutex record_mutex;
inline FILE* record_file = nullptr;
inline void note(const char* format, ...) {
  std::lock_guard<std::mutex> lock(record_mutex);
  if (record_file == nullptr) return;
  std::fprintf(record_file, "%8.3f ", now());
  va_list args;
  va_start(args, format);
  std::vfprintf(record_file, format, args);
  va_end(args);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

inline double random01() {
  static std::mutex mutex;
  static std::mt19937_64 engine{std::random_device{}()};
  std::lock_guard<std::mutex> lock(mutex);
  return std::uniform_real_distribution<double>(0, 1)(engine);
}

// --- MessagePack ---------------------------------------------------------------------

struct Value;
using List = std::vector<Value>;
using Map = std::vector<std::pair<std::string, Value>>;

struct Value {
  enum Type { nil, boolean, integer, real, text, list, map } type = nil;
  bool b = false;
  std::int64_t i = 0;
  double d = 0;
  std::string s;
  List l;
  Map m;
  Value() = default;
  Value(bool v) : type(boolean), b(v) {}
  Value(int v) : type(integer), i(v) {}
  Value(std::int64_t v) : type(integer), i(v) {}
  Value(std::uint64_t v) : type(integer), i(static_cast<std::int64_t>(v)) {}
  Value(double v) : type(real), d(v) {}
  Value(const char* v) : type(text), s(v) {}
  Value(std::string v) : type(text), s(std::move(v)) {}
  Value(List v) : type(list), l(std::move(v)) {}
  Value(Map v) : type(map), m(std::move(v)) {}
  const Value* find(const std::string& key) const {
    for (const auto& [k, v] : m)
      if (k == key) return v.type == nil ? nullptr : &v;
    return nullptr;
  }
  std::int64_t num(const std::string& key, std::int64_t fallback = 0) const {
    const auto* v = find(key);
    if (v == nullptr) return fallback;
    return v->type == real ? static_cast<std::int64_t>(v->d) : v->i;
  }
  double dbl(const std::string& key, double fallback = 0) const {
    const auto* v = find(key);
    if (v == nullptr) return fallback;
    return v->type == real ? v->d : static_cast<double>(v->i);
  }
  std::string str(const std::string& key) const {
    const auto* v = find(key);
    return v == nullptr ? std::string() : v->s;
  }
  bool flag(const std::string& key) const {
    const auto* v = find(key);
    return v != nullptr && v->b;
  }
  const List& items(const std::string& key) const {
    static const List none;
    const auto* v = find(key);
    return v == nullptr ? none : v->l;
  }
};

inline void put_be(std::string& out, std::uint64_t v, int bytes) {
  for (int k = bytes - 1; k >= 0; --k) out.push_back(static_cast<char>(v >> (8 * k)));
}

inline void pack(std::string& out, const Value& v) {
  switch (v.type) {
    case Value::nil: out.push_back('\xc0'); break;
    case Value::boolean: out.push_back(v.b ? '\xc3' : '\xc2'); break;
    case Value::integer:
      if (v.i >= 0 && v.i < 128) {
        out.push_back(static_cast<char>(v.i));
      } else if (v.i >= 0) {
        out.push_back('\xcf');
        put_be(out, static_cast<std::uint64_t>(v.i), 8);
      } else {
        out.push_back('\xd3');
        put_be(out, static_cast<std::uint64_t>(v.i), 8);
      }
      break;
    case Value::real: {
      std::uint64_t bits;
      std::memcpy(&bits, &v.d, 8);
      out.push_back('\xcb');
      put_be(out, bits, 8);
      break;
    }
    case Value::text:
      out.push_back('\xdb');
      put_be(out, v.s.size(), 4);
      out += v.s;
      break;
    case Value::list:
      out.push_back('\xdd');
      put_be(out, v.l.size(), 4);
      for (const auto& item : v.l) pack(out, item);
      break;
    case Value::map:
      out.push_back('\xdf');
      put_be(out, v.m.size(), 4);
      for (const auto& [key, item] : v.m) {
        pack(out, Value(key));
        pack(out, item);
      }
      break;
  }
}
inline std::string packed(const Value& v) {
  std::string out;
  pack(out, v);
  return out;
}

class Unpacker {
 public:
  explicit Unpacker(const std::string& text) : text_(text) {}
  Value value() {
    const auto c = static_cast<unsigned char>(byte());
    if (c < 0x80) return Value(static_cast<std::int64_t>(c));
    if (c >= 0xe0) return Value(static_cast<std::int64_t>(static_cast<signed char>(c)));
    if (c >= 0xa0 && c < 0xc0) return Value(bytes(c & 0x1f));
    if (c >= 0x90 && c < 0xa0) return list_of(c & 0x0f);
    if (c >= 0x80 && c < 0x90) return map_of(c & 0x0f);
    switch (c) {
      case 0xc0: return Value();
      case 0xc2: return Value(false);
      case 0xc3: return Value(true);
      case 0xca: {
        const auto bits = static_cast<std::uint32_t>(be(4));
        float f;
        std::memcpy(&f, &bits, 4);
        return Value(static_cast<double>(f));
      }
      case 0xcb: {
        const auto bits = be(8);
        double d;
        std::memcpy(&d, &bits, 8);
        return Value(d);
      }
      case 0xcc: return Value(be(1));
      case 0xcd: return Value(be(2));
      case 0xce: return Value(be(4));
      case 0xcf: return Value(be(8));
      case 0xd0: return Value(static_cast<std::int64_t>(static_cast<std::int8_t>(be(1))));
      case 0xd1: return Value(static_cast<std::int64_t>(static_cast<std::int16_t>(be(2))));
      case 0xd2: return Value(static_cast<std::int64_t>(static_cast<std::int32_t>(be(4))));
      case 0xd3: return Value(static_cast<std::int64_t>(be(8)));
      case 0xd9: return Value(bytes(be(1)));
      case 0xda: return Value(bytes(be(2)));
      case 0xdb: return Value(bytes(be(4)));
      case 0xdc: return list_of(be(2));
      case 0xdd: return list_of(be(4));
      case 0xde: return map_of(be(2));
      case 0xdf: return map_of(be(4));
      default: throw std::runtime_error("not MessagePack");
    }
  }

 private:
  char byte() {
    if (at_ >= text_.size()) throw std::runtime_error("too short");
    return text_[at_++];
  }
  std::uint64_t be(int count) {
    std::uint64_t v = 0;
    for (int k = 0; k < count; ++k) v = v << 8 | static_cast<unsigned char>(byte());
    return v;
  }
  std::string bytes(std::uint64_t count) {
    if (text_.size() - at_ < count) throw std::runtime_error("too short");
    auto part = text_.substr(at_, count);
    at_ += count;
    return part;
  }
  Value list_of(std::uint64_t count) {
    List items;
    for (std::uint64_t k = 0; k < count; ++k) items.push_back(value());
    return Value(std::move(items));
  }
  Value map_of(std::uint64_t count) {
    Map items;
    for (std::uint64_t k = 0; k < count; ++k) {
      auto key = value().s;
      items.emplace_back(std::move(key), value());
    }
    return Value(std::move(items));
  }
  const std::string& text_;
  std::size_t at_ = 0;
};
inline Value unpacked(const std::string& text) {
  if (text.empty()) return Value(Map{});
  return Unpacker(text).value();
}

// --- HTTP ------------------------------------------------------------------------------

struct Reply {
  int status = 0;  // 0: no answer
  std::string body;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// A listening socket on a free port of the loopback address.
inline int listen_somewhere(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  auto address = loopback(0);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 256) != 0)
    throw std::runtime_error("no free port");
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

/// A port that is free now, for a process that is started later.
inline int free_port() {
  int port = 0;
  ::close(listen_somewhere(port));
  return port;
}

inline bool write_all(int fd, const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const auto n = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads one message. False at the end of the connection or after the deadline.
inline bool read_message(int fd, std::string& buffer, std::string& head, std::string& body,
                         double deadline) {
  std::size_t need = std::string::npos, head_end = std::string::npos;
  while (true) {
    if (head_end == std::string::npos) {
      head_end = buffer.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        head = buffer.substr(0, head_end);
        std::string lower = head;
        std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
        const auto at = lower.find("content-length:");
        const std::size_t length =
            at == std::string::npos ? 0 : std::strtoul(lower.c_str() + at + 15, nullptr, 10);
        need = head_end + 4 + length;
      }
    }
    if (need != std::string::npos && buffer.size() >= need) {
      body = buffer.substr(head_end + 4, need - head_end - 4);
      buffer.erase(0, need);
      return true;
    }
    const double left = deadline - now();
    if (left <= 0) return false;
    pollfd p{fd, POLLIN, 0};
    const int ready = ::poll(&p, 1, static_cast<int>(std::min(left, 1e6) * 1000) + 1);
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) return false;
    char chunk[16384];
    const auto n = ::recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0) return false;
    buffer.append(chunk, static_cast<std::size_t>(n));
  }
}

/// Serves requests, each connection in a thread of its own.
class Server {
 public:
  using Handler =
      std::function<Reply(const std::string& method, const std::string& path, const std::string& body)>;
  explicit Server(Handler handler) : handler_(std::move(handler)) {
    fd_ = listen_somewhere(port_);
    std::thread([this] {
      while (true) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  /// Open connections are reset and new ones refused from now on.
  void stop() {
    stopped_ = true;
    ::shutdown(fd_, SHUT_RDWR);
    std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
  }

 private:
  void serve(int fd) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      open_.insert(fd);
    }
    std::string buffer, head, body;
    while (!stopped_ && read_message(fd, buffer, head, body, 1e9)) {
      const auto space = head.find(' ');
      const auto second = head.find(' ', space + 1);
      Reply reply;
      try {
        reply = handler_(head.substr(0, space), head.substr(space + 1, second - space - 1), body);
      } catch (const std::exception&) {
        reply.status = 400;
      }
      if (reply.status == 0 || stopped_) break;
      const auto text = "HTTP/1.1 " + std::to_string(reply.status) + " x\r\nContent-Length: " +
                        std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
      if (!write_all(fd, text)) break;
    }
    std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(fd);
    ::close(fd);
  }
  Handler handler_;
  int fd_ = -1, port_ = 0;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::set<int> open_;
};

/// A client with one connection that it keeps open.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { drop(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  void drop() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  Reply request(const std::string& method, const std::string& path, const std::string& body,
                double timeout_s) {
    const double deadline = now() + timeout_s;
    if (fd_ >= 0) {  // closed by the server meanwhile?
      char c;
      if (::recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0) drop();
    }
    if (fd_ < 0 && !connect(deadline)) return {};
    const auto text = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer, head;
    Reply reply;
    if (!write_all(fd_, text) || !read_message(fd_, buffer, head, reply.body, deadline)) {
      drop();
      return {};
    }
    reply.status = std::atoi(head.c_str() + head.find(' ') + 1);
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
    if (lower.find("connection: close") != std::string::npos) drop();
    return reply;
  }

 private:
  bool connect(double deadline) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto address = loopback(port_);
    if (::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      pollfd p{fd_, POLLOUT, 0};
      int error = 0;
      socklen_t size = sizeof error;
      if (errno != EINPROGRESS ||
          ::poll(&p, 1, std::max(1, static_cast<int>((deadline - now()) * 1000))) <= 0 ||
          ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        drop();
        return false;
      }
    }
    ::fcntl(fd_, F_SETFL, ::fcntl(fd_, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return true;
  }
  int port_, fd_ = -1;
};

inline std::map<std::string, std::string> query_of(const std::string& path) {
  std::map<std::string, std::string> result;
  auto at = path.find('?');
  while (at != std::string::npos) {
    const auto end = path.find('&', at + 1);
    const auto part = path.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const auto eq = part.find('=');
    result[part.substr(0, eq)] = eq == std::string::npos ? "" : part.substr(eq + 1);
    at = end;
  }
  return result;
}

// --- the state service -------------------------------------------------------------------

class StateService {
 public:
  StateService()
      : server_([this](const std::string& method, const std::string& path,
                       const std::string& body) { return handle(method, path, body); }) {
    std::thread([this] {
      while (true) {
        sleep_s(0.02);
        std::lock_guard<std::mutex> lock(mutex_);
        end_leases();
      }
    }).detach();
  }
  std::string address() const { return server_.address(); }
  /// Called for every transaction that was applied, before it is answered.
  std::function<void(const Value& request)> on_applied;
  /// When the lease of the leader's record was last renewed.
  std::atomic<double> lead_renewed_at{0};
  /// Name of the leader by the record that the state service holds; empty without one.
  std::string leader() {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto found = items_.find("elm/l/lead");
    return found == items_.end() ? std::string() : found->second.value.str("node");
  }

 private:
  struct Item {
    Value value;
    std::int64_t stamp = 0, lease = 0;
  };
  struct Lease {
    double life_s = 0, ends = 0;
  };
  struct Change {
    std::string key;
    std::optional<Value> value;
    std::int64_t stamp = 0;
  };

  void end_leases() {
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (now() < it->second.ends) {
        ++it;
        continue;
      }
      remove_keys_of(it->first);
      it = leases_.erase(it);
    }
  }
  void remove_keys_of(std::int64_t lease) {
    std::vector<std::string> gone;
    for (const auto& [key, item] : items_)
      if (item.lease == lease) gone.push_back(key);
    if (gone.empty()) return;
    ++revision_;
    for (const auto& key : gone) remove(key);
    changed_.notify_all();
  }
  void remove(const std::string& key) {
    items_.erase(key);
    log_.push_back({key, std::nullopt, revision_});
  }
  Reply commit(const Value& request) {
    List failed;
    for (const auto& guard : request.items("guards")) {
      const auto found = items_.find(guard.str("key"));
      const std::int64_t stamp = found == items_.end() ? 0 : found->second.stamp;
      if (stamp != guard.num("stamp")) failed.push_back(Value(guard.str("key")));
    }
    const auto& writes = request.items("writes");
    for (const auto& write : writes) {
      if (write.find("hold") != nullptr && !leases_.contains(write.num("hold")))
        return {400, packed(Map{{"error", "no such lease"}})};
    }
    if (!failed.empty())
      return {409, packed(Map{{"failed", Value(failed)}, {"ledger_rev", Value(revision_)}})};
    if (!writes.empty()) ++revision_;
    for (const auto& write : writes) {
      if (write.find("set") != nullptr) {
        const auto* value = write.find("value");
        items_[write.str("set")] = {value == nullptr ? Value() : *value, revision_,
                                    write.num("hold")};
        log_.push_back({write.str("set"), value == nullptr ? Value() : *value, revision_});
      } else if (items_.contains(write.str("delete"))) {
        remove(write.str("delete"));
      }
    }
    changed_.notify_all();
    if (on_applied) on_applied(request);
    return {200, packed(Map{{"ledger_rev", Value(revision_)}})};
  }
  Reply follow(std::unique_lock<std::mutex>& lock, const std::map<std::string, std::string>& query) {
    const auto under = query.at("under");
    const std::int64_t since = std::atoll(query.at("since").c_str());
    const double until =
        now() + (query.contains("hold_ms") ? std::atof(query.at("hold_ms").c_str()) / 1000 : 0);
    while (true) {
      List changes;
      for (auto it = log_.rbegin(); it != log_.rend() && it->stamp > since; ++it) {
        if (!it->key.starts_with(under)) continue;
        if (it->value) {
          changes.push_back(
              Map{{"set", it->key}, {"value", *it->value}, {"stamp", Value(it->stamp)}});
        } else {
          changes.push_back(Map{{"delete", it->key}, {"stamp", Value(it->stamp)}});
        }
      }
      std::reverse(changes.begin(), changes.end());
      if (!changes.empty() || now() >= until)
        return {200, packed(Map{{"ledger_rev", Value(revision_)}, {"log", Value(changes)}})};
      changed_.wait_for(lock, std::chrono::duration<double>(std::max(0.001, until - now())));
    }
  }
  Reply handle(const std::string& method, const std::string& path, const std::string& body) {
    std::unique_lock<std::mutex> lock(mutex_);
    end_leases();
    const auto query = query_of(path);
    if (path == "/commit") return commit(unpacked(body));
    if (path.starts_with("/follow?")) return follow(lock, query);
    if (path.starts_with("/kv?")) {
      const auto under = query.at("under");
      const auto since = query.contains("since") ? query.at("since") : std::string();
      const std::size_t most =
          query.contains("most") ? std::strtoul(query.at("most").c_str(), nullptr, 10) : 1000;
      List entries;
      bool truncated = false;
      for (const auto& [key, item] : items_) {
        if (!key.starts_with(under) || key <= since) continue;
        if (entries.size() >= most) {
          truncated = true;
          break;
        }
        entries.push_back(Map{{"key", key}, {"value", item.value}, {"stamp", Value(item.stamp)}});
      }
      return {200, packed(Map{{"entries", Value(entries)},
                              {"truncated", Value(truncated)},
                              {"ledger_rev", Value(revision_)}})};
    }
    if (path.starts_with("/kv/")) {
      const auto found = items_.find(path.substr(4));
      if (found == items_.end())
        return {404, packed(Map{{"ledger_rev", Value(revision_)}})};
      return {200, packed(Map{{"key", found->first},
                              {"value", found->second.value},
                              {"stamp", Value(found->second.stamp)},
                              {"hold", Value(found->second.lease)}})};
    }
    if (path == "/grants") {
      const double life = static_cast<double>(unpacked(body).num("life_ms")) / 1000;
      leases_[++last_lease_] = {life, now() + life};
      return {200, packed(Map{{"hold", Value(last_lease_)}})};
    }
    if (path.starts_with("/grants/")) {
      const std::int64_t id = std::atoll(path.c_str() + 8);
      const auto found = leases_.find(id);
      if (found == leases_.end()) return {404, packed(Map{})};
      if (method == "DELETE") {
        remove_keys_of(id);
        leases_.erase(id);
      } else {
        found->second.ends = now() + found->second.life_s;
        const auto lead = items_.find("elm/l/lead");
        if (lead != items_.end() && lead->second.lease == id) lead_renewed_at = now();
      }
      return {200, packed(Map{{"hold", Value(id)}})};
    }
    return {400, {}};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::map<std::int64_t, Lease> leases_;
  std::vector<Change> log_;
  std::int64_t revision_ = 1, last_lease_ = 0;
  Server server_;
};

// --- jobs, workers and cloud -----------------------------------------------------------------

/// What the stand-ins know of a job: the users upload its description.
struct JobInfo {
  Map submission;
  double run_s = 30;  // 0: until it is stopped
  double cpus = 0, gpus = 0, memory_gb = 0, pull_gb = 0;
  std::string bundle;
  std::optional<std::vector<std::string>> builds;  // nothing: any
  bool loaners = false;
};

struct Rates {
  double report_s = 1.5, lease_s = 10, cancel_s = 40, list_lag_s = 3, boot_s = 1.5;
  double fetch_gb_per_s = 0.5;
};

class World;

class Worker {
 public:
  Worker(World& world, std::string id, std::string build, std::string yard, bool loaners);
  void begin();
  void end();
  std::string address() const { return server_.address(); }
  const std::string& id() const { return id_; }
  /// Whether the task is on the machine: it has its image and has not ended.
  bool has(const std::string& shard);
  /// The machine loses the network, or has it again. Its messages are held meanwhile.
  void cut(bool lost) { cut_ = lost; }
  /// The first report that was held by the present or last cut; empty without one.
  std::string held_report() {
    std::lock_guard<std::mutex> lock(mutex_);
    return held_;
  }

 private:
  struct Task {
    std::string status = "fetching", cause;
    double ready_at = 0, end_at = 0;
    JobInfo job;
  };
  using Key = std::pair<std::string, std::int64_t>;  // shard, try
  Value report();
  void tick();
  void report_loop();
  void execute(const List& orders, const char* how);
  void run(const Key& key);
  void finish(const Key& key, Task& task, const std::string& cause);
  Reply handle(const std::string& path, const std::string& body);

  World& world_;
  std::string id_, build_, yard_;
  bool loaners_;
  std::mutex mutex_;
  std::int64_t shift_ = 1, tick_ = 0, baton_ = 0;
  double lease_from_ = 0, token_reported_at_ = -100;
  bool changed_ = false;
  std::map<Key, Task> tasks_;
  std::set<std::string> images_;
  std::atomic<bool> ended_{false}, cut_{false};
  std::string held_;
  Server server_;
};

class Controller;

class World {
 public:
  Rates rates;
  StateService state;
  std::vector<std::string> node_names;
  std::vector<int> api_ports;
  std::mutex mutex;  // jobs and machines
  std::map<std::string, JobInfo> jobs;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  Value builds;                                // answer of /flavors
  std::map<std::string, Value> build_by_name;  // by name
  std::vector<std::string> broken;             // rules seen broken at the workers
  /// Called after a task was told to stop, before anybody hears of its end. True: the machine loses
  /// the network at this moment.
  std::function<bool(const std::string& host, const std::string& shard)> on_kill;
  std::atomic<int> starts{0};

  World()
      : cloud_([this](const std::string& method, const std::string& path, const std::string& body) {
          return cloud(method, path, body);
        }) {}
  std::string cloud_address() const { return cloud_.address(); }

  void add_build(Map build) {
    const auto name = Value(build).str("name");
    build_by_name[name] = Value(build);
    List all;
    for (const auto& [key, value] : build_by_name) all.push_back(value);
    builds = Map{{"builds", Value(all)}};
  }
  std::optional<JobInfo> job_of(const std::string& shard) {
    std::lock_guard<std::mutex> lock(mutex);
    const auto found = jobs.find(shard.substr(0, shard.find('/')));
    if (found == jobs.end()) return std::nullopt;
    return found->second;
  }
  /// A task has its image and starts on a machine: the rules about starts are checked.
  void on_start(const std::string& shard, std::int64_t attempt, const std::string& host,
                const std::string& build, bool loaners, const JobInfo& job) {
    ++starts;
    note("start %s try %lld on %s (%s%s)", shard.c_str(), static_cast<long long>(attempt),
         host.c_str(), build.c_str(), loaners ? ", loaner" : "");
    std::vector<std::string> others;
    {
      std::lock_guard<std::mutex> lock(mutex);
      for (auto& [id, worker] : workers)
        if (id != host) others.push_back(id);
    }
    if (job.builds &&
        std::find(job.builds->begin(), job.builds->end(), build) == job.builds->end())
      break_rule("wrong_place: " + shard + " starts on type " + build +
                 ", which its job does not allow");
    if (loaners && !job.loaners)
      break_rule("wrong_place: " + shard + " starts on the spot machine " + host);
    for (const auto& id : others) {
      Worker* other = nullptr;
      {
        std::lock_guard<std::mutex> lock(mutex);
        other = workers.at(id).get();
      }
      if (other->has(shard))
        break_rule("ran_twice: " + shard + " starts on " + host + " while it is on " + id);
    }
  }
  void break_rule(const std::string& text) {
    note("RULE BROKEN %s", text.c_str());
    std::lock_guard<std::mutex> lock(broken_mutex_);
    broken.push_back(text);
  }

 private:
  struct Rented {
    std::string build, yard;
    bool loaners = false;
    double at = 0, up_at = 0;
    std::optional<double> gone_at;
  };
  Reply cloud(const std::string&, const std::string& path, const std::string& body) {
    if (path == "/flavors") return {200, packed(builds)};
    if (path == "/hosts/release") {
      for (const auto& name : unpacked(body).items("hosts")) {
        Worker* worker = nullptr;
        {
          std::lock_guard<std::mutex> lock(mutex);
          const auto found = rented_.find(name.s);
          if (found == rented_.end() || found->second.gone_at) continue;
          found->second.gone_at = now();
          const auto known = workers.find(name.s);
          if (known != workers.end()) worker = known->second.get();
        }
        note("released %s", name.s.c_str());
        if (worker != nullptr) worker->end();
      }
      return {200, packed(Map{})};
    }
    if (path == "/hosts") return rent(unpacked(body));
    if (path.starts_with("/hosts?")) return list(query_of(path));
    return {400, {}};
  }
  Reply rent(const Value& request) {
    std::lock_guard<std::mutex> lock(mutex);
    const auto hire = request.str("hire");
    if (!hires_.contains(hire)) {
      List names;
      for (std::int64_t k = 0; k < request.num("count") && rented_.size() < capacity; ++k) {
        char name[32];
        std::snprintf(name, sizeof name, "host-%06d", ++last_host_);
        Rented rented{request.str("build"), request.str("yard"), request.flag("loaners"), now(),
                      now() + rates.boot_s, std::nullopt};
        rented_[name] = rented;
        names.push_back(Value(name));
        workers[name] =
            std::make_unique<Worker>(*this, name, rented.build, rented.yard, rented.loaners);
        std::thread([this, id = std::string(name)] {
          sleep_s(rates.boot_s);
          Worker* worker = nullptr;
          {
            std::lock_guard<std::mutex> inner(mutex);
            if (rented_[id].gone_at) return;
            worker = workers.at(id).get();
          }
          worker->begin();
        }).detach();
        note("rented %s %s %s%s as %s", name, rented.build.c_str(), rented.yard.c_str(),
             rented.loaners ? " loaner" : "", hire.c_str());
      }
      if (names.empty()) return {503, packed(Map{{"error", "no capacity"}})};
      hires_[hire] = names;
    }
    return {200, packed(Map{{"hosts", Value(hires_[hire])}})};
  }
  Reply list(const std::map<std::string, std::string>& query) {
    std::lock_guard<std::mutex> lock(mutex);
    const double as_of = now() - rates.list_lag_s;
    const auto since = query.contains("since") ? query.at("since") : std::string();
    List hosts;
    for (const auto& [name, rented] : rented_) {
      if (name <= since || rented.at > as_of || (rented.gone_at && *rented.gone_at <= as_of))
        continue;
      hosts.push_back(Map{{"uid", name},
                          {"addr", workers.at(name)->address()},
                          {"build", rented.build},
                          {"yard", rented.yard},
                          {"loaners", Value(rented.loaners)},
                          {"status", as_of < rented.up_at ? "booting" : "running"},
                          {"held_s", Value(as_of - rented.at)}});
    }
    return {200, packed(Map{{"hosts", Value(hosts)}, {"truncated", Value(false)}})};
  }
  std::mutex broken_mutex_;
  std::map<std::string, Rented> rented_;
  std::map<std::string, List> hires_;
  int last_host_ = 0;
  Server cloud_;

 public:
  std::size_t capacity = 12;
};

inline Worker::Worker(World& world, std::string id, std::string build, std::string yard,
                      bool loaners)
    : world_(world),
      id_(std::move(id)),
      build_(std::move(build)),
      yard_(std::move(yard)),
      loaners_(loaners),
      server_([this](const std::string&, const std::string& path, const std::string& body) {
        return handle(path, body);
      }) {}

inline void Worker::begin() {
  lease_from_ = now();
  std::thread([this] {
    while (!ended_) {
      tick();
      sleep_s(0.01);
    }
  }).detach();
  std::thread([this] { report_loop(); }).detach();
}

inline void Worker::end() {
  ended_ = true;
  server_.stop();
  std::lock_guard<std::mutex> lock(mutex_);
  tasks_.clear();
}

inline bool Worker::has(const std::string& shard) {
  std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [key, task] : tasks_)
    if (key.first == shard && (task.status == "running" || task.status == "flushing")) return true;
  return false;
}

inline Value Worker::report() {
  List shards;
  for (const auto& [key, task] : tasks_) {
    Map entry{{"shard", key.first}, {"try", Value(key.second)}, {"status", task.status}};
    if (task.status == "ended") entry.emplace_back("cause", task.cause);
    shards.push_back(Value(entry));
  }
  return Map{{"host", id_},          {"addr", address()},   {"build", build_},
             {"yard", yard_},        {"loaners", loaners_}, {"shift", Value(shift_)},
             {"tick", Value(++tick_)}, {"baton", Value(baton_)}, {"recall_s", Value()},
             {"shards", Value(shards)}};
}

inline void Worker::finish(const Key& key, Task& task, const std::string& cause) {
  if (task.status != "fetching") note("%s try %lld ends on %s: %s", key.first.c_str(),
                                      static_cast<long long>(key.second), id_.c_str(), cause.c_str());
  task.status = "ended";
  task.cause = cause;
  changed_ = true;
}

inline void Worker::tick() {
  struct Started {
    Key key;
    JobInfo job;
  };
  std::vector<Started> started;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (now() - lease_from_ > world_.rates.lease_s) {
      if (!tasks_.empty()) note("%s: lease over, %zu tasks killed", id_.c_str(), tasks_.size());
      tasks_.clear();
      ++shift_;
      lease_from_ = now();
      changed_ = true;
    }
    for (auto& [key, task] : tasks_) {
      if (task.status == "fetching" && now() >= task.ready_at) {
        task.status = "running";
        images_.insert(task.job.bundle);
        task.end_at = task.job.run_s > 0 ? now() + task.job.run_s : 1e18;
        changed_ = true;
        started.push_back({key, task.job});
      } else if (task.status == "running" && now() >= task.end_at) {
        finish(key, task, "done");
      }
    }
  }
  for (const auto& one : started)
    world_.on_start(one.key.first, one.key.second, id_, build_, loaners_, one.job);
}

inline void Worker::run(const Key& key) {
  if (tasks_.contains(key)) return;
  auto& task = tasks_[key];
  changed_ = true;
  const auto job = world_.job_of(key.first);
  if (!job) return finish(key, task, "unknown");
  double cpus = 0, gpus = 0, memory = 0;
  for (const auto& [other, there] : tasks_) {
    if (there.status == "ended" || other == key) continue;
    if (other.first == key.first) return finish(key, task, "in_use");
    cpus += there.job.cpus;
    gpus += there.job.gpus;
    memory += there.job.memory_gb;
  }
  const auto& build = world_.build_by_name.at(build_);
  constexpr double slack = 1e-6;
  if (cpus + job->cpus > build.dbl("cores") + slack || gpus + job->gpus > build.dbl("cards") + slack ||
      memory + job->memory_gb > build.dbl("ram_gb") + slack)
    return finish(key, task, "no_room");
  task.job = *job;
  task.ready_at =
      now() + (images_.contains(job->bundle) ? 0 : job->pull_gb / world_.rates.fetch_gb_per_s);
}

inline void Worker::execute(const List& orders, const char* how) {
  for (const auto& order : orders) {
    const auto verb = order.str("verb");
    const Key key{order.str("shard"), order.num("try")};
    note("%s is told to %s %s try %lld, %s", id_.c_str(), verb.c_str(), key.first.c_str(),
         static_cast<long long>(key.second), how);
    if (verb == "run") {
      run(key);
    } else if (verb == "kill") {
      const auto found = tasks_.find(key);
      if (found != tasks_.end() && found->second.status != "ended")
        finish(key, found->second, "halted");
    } else if (verb == "clear") {
      const auto found = tasks_.find(key);
      if (found != tasks_.end() && found->second.status == "ended") tasks_.erase(found);
    }
  }
}

inline Reply Worker::handle(const std::string& path, const std::string& body) {
  while (cut_ && !ended_) sleep_s(0.02);
  std::unique_lock<std::mutex> lock(mutex_);
  if (path == "/status") return {200, packed(report())};
  if (path != "/orders") return {404, {}};
  const auto request = unpacked(body);
  if (request.find("baton") == nullptr || request.find("shift") == nullptr) return {400, {}};
  if (request.num("baton") < baton_ || request.num("shift") != shift_)
    return {409, packed(report())};
  if (request.num("baton") > baton_) changed_ = true;
  baton_ = request.num("baton");
  execute(request.items("orders"), "directly");
  const Reply reply{200, packed(report())};
  lock.unlock();
  for (const auto& order : request.items("orders")) {
    if (order.str("verb") != "kill" || !world_.on_kill || !world_.on_kill(id_, order.str("shard")))
      continue;
    cut(true);
    while (cut_ && !ended_) sleep_s(0.02);
    return {};  // the other side has given up meanwhile
  }
  return reply;
}

inline void Worker::report_loop() {
  auto node = static_cast<std::size_t>(random01() * static_cast<double>(world_.api_ports.size()));
  auto client = std::make_unique<Client>(world_.api_ports[node]);
  const auto go_to = [&](std::size_t other) {
    node = other;
    client = std::make_unique<Client>(world_.api_ports[node]);
  };
  const auto next_node = [&] { go_to((node + 1) % world_.api_ports.size()); };
  while (!ended_) {
    std::string body;
    std::int64_t session = 0;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      changed_ = false;
      session = shift_;
      body = packed(report());
    }
    const double sent = now();
    Reply reply;
    if (cut_) {
      {
        std::lock_guard<std::mutex> lock(mutex_);
        if (held_.empty()) held_ = body;
      }
      while (cut_ && !ended_ && now() < sent + 4) sleep_s(0.02);
    } else {
      reply = client->request("POST", "/v1/report", body, 4);
      if (cut_) reply = {};  // its answer is held
    }
    double wait = 0;
    if (reply.status == 200) {
      const auto answer = unpacked(reply.body);
      std::unique_lock<std::mutex> lock(mutex_);
      if (session == shift_ && answer.find("baton") != nullptr && answer.num("baton") >= baton_) {
        if (answer.num("baton") > baton_ &&
            now() - token_reported_at_ > world_.rates.lease_s / 2) {
          token_reported_at_ = now();
          changed_ = true;
        }
        baton_ = answer.num("baton");
        lease_from_ = std::max(lease_from_, sent);
        execute(answer.items("orders"),
                ("by " + world_.node_names[node] + " in answer to its report").c_str());
        lock.unlock();
        for (const auto& order : answer.items("orders"))
          if (order.str("verb") == "kill" && world_.on_kill &&
              world_.on_kill(id_, order.str("shard")))
            cut(true);
      }
      wait = world_.rates.report_s * (0.75 + 0.5 * random01());
    } else if (reply.status == 421) {
      const auto steward = unpacked(reply.body).str("steward");
      const auto found =
          std::find(world_.node_names.begin(), world_.node_names.end(), steward);
      const auto index = static_cast<std::size_t>(found - world_.node_names.begin());
      if (found == world_.node_names.end() || index == node) {
        next_node();
        sleep_s(1);
      } else {
        go_to(index);
        sleep_s(0.5 * random01());
      }
      continue;
    } else {
      client->drop();
      next_node();
      sleep_s(1);
      continue;
    }
    while (!ended_) {
      const double since = now() - sent;
      bool changed = false;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        changed = changed_;
      }
      if (since >= wait || (changed && since >= 0.5)) break;
      sleep_s(0.01);
    }
  }
}

// --- controllers -----------------------------------------------------------------------------

class Controller {
 public:
  Controller(std::string binary, std::string settings, std::string log)
      : binary_(std::move(binary)), settings_(std::move(settings)), log_(std::move(log)) {}
  ~Controller() { kill(); }
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;
  void start() {
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, 2);
    ::setenv("LOG_LEVEL", "debug", 0);
    ::execl(binary_.c_str(), binary_.c_str(), "--config", settings_.c_str(), nullptr);
    ::_exit(127);
  }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  void stop() const { ::kill(pid_, SIGSTOP); }
  void resume() const { ::kill(pid_, SIGCONT); }
  /// Whether it has ended by itself.
  bool ended() {
    if (pid_ <= 0) return false;
    if (::waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
    pid_ = 0;
    return true;
  }
  /// Seconds of processor time that it has used.
  double cpu_s() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
    std::string text;
    std::getline(file, text);
    const auto at = text.rfind(')');
    if (at == std::string::npos) return 0;
    long long user = 0, kernel = 0;
    std::sscanf(text.c_str() + at + 2,
                "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lld %lld", &user, &kernel);
    return static_cast<double>(user + kernel) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }

 private:
  std::string binary_, settings_, log_;
  pid_t pid_ = 0;
};

/// The small deployment of Kayalpura ClubDesk, with as many controllers as given.
struct Deployment {
  World world;
  std::vector<std::unique_ptr<Controller>> controllers;
  std::filesystem::path folder;
  std::string kept_logs;

  Deployment(const std::string& binary, int count) {
    folder = std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const std::vector<std::string> zones{"kochi-east", "kollam-south"};
    std::vector<int> mesh;
    for (int k = 0; k < count; ++k) {
      world.node_names.push_back("stallhost-" + std::to_string(k));
      world.api_ports.push_back(free_port());
      mesh.push_back(free_port());
    }
    world.add_build(Map{{"name", "vembanad-g12"},
                        {"cores", 12},
                        {"cards", 2},
                        {"ram_gb", 96},
                        {"local_gb", 90},
                        {"fetch_gb_per_s", 0.5},
                        {"price", 5.97},
                        {"low_price", 2.15},
                        {"ready_s", 40},
                        {"yards", List{"kochi-east", "kollam-south"}}});
    for (int k = 0; k < count; ++k) {
      const auto file = folder / (world.node_names[k] + ".toml");
      std::ofstream out(file);
      const auto zone = [&](int node) { return zones[node % zones.size()]; };
      out << "node_name = \"" << world.node_names[k] << "\"\narea = \"" << zone(k)
          << "\"\napi_addr = \"127.0.0.1:" << world.api_ports[k]
          << "\"\nmesh_addr = \"127.0.0.1:" << mesh[k] << "\"\n\n";
      for (int peer = 0; peer < count; ++peer) {
        if (peer == k) continue;
        out << "[[known]]\nnode_name = \"" << world.node_names[peer] << "\"\narea = \""
            << zone(peer) << "\"\nendpoint = \"127.0.0.1:" << mesh[peer] << "\"\n\n";
      }
      out << "[endpoints]\ncloud = \"" << world.cloud_address() << "\"\nstate = \""
          << world.state.address() << "\"\n\n"
          << "[deployment]\ninitial_size = " << count
          << "\nzones = [\"kochi-east\", \"kollam-south\"]\nskew_ms = 100.0\n\n";
      for (const char* team : {"frontdesk", "dueskeepers", "clubinsight"})
        out << "[[deployment.teams]]\nname = \"" << team
            << "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n\n";
      out << "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"gatecheck\"\nwithin_s = 10.0\n"
             "share = 0.8\n\n[[deployment.objectives]]\nkind = \"finished\"\nclass = "
             "\"renewnudge\"\nwithin_s = 180.0\nshare = 0.88\n\n"
             "[deployment.workers]\nreport_s = 1.5\nlease_s = 10.0\ngang_wait_s = 30.0\n"
             "gang_peer_s = 8.0\ncancel_s = 40.0\n\n"
             "[deployment.state]\nrps = 120.0\nwrite_rps = 25.0\nvalue_kb = 4.0\ntxn_ops = 8\n\n"
             "[deployment.cloud]\nrps = 8.0\nlist_lag_s = 3.0\n\n"
             "[deployment.quota]\ncores = 0.096\nmemory_mb = 56.0\nfd_limit = 900\n";
      out.close();
      controllers.push_back(std::make_unique<Controller>(
          binary, file.string(), (folder / (world.node_names[k] + ".log")).string()));
    }
  }
  void start() {
    for (auto& controller : controllers) controller->start();
  }
  /// Ends the controllers and removes the folder.
  void close() {
    controllers.clear();
    if (const char* keep = std::getenv("KEEP_LOGS")) {
      std::filesystem::create_directories(keep);
      std::filesystem::copy(folder, keep, std::filesystem::copy_options::recursive |
                                              std::filesystem::copy_options::overwrite_existing);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  }
  bool ready(std::size_t node) {
    Client client(world.api_ports[node]);
    return client.request("GET", "/ready", "", 1).status == 200;
  }
  bool wait_until_ready(double seconds) {
    const double until = now() + seconds;
    while (now() < until) {
      bool all = true;
      for (std::size_t k = 0; k < controllers.size(); ++k) all = all && ready(k);
      if (all) return true;
      sleep_s(0.2);
    }
    return false;
  }
};

// --- users -------------------------------------------------------------------------------------

/// Submissions like those of the deployment's two classes.
inline Map gatecheck(const std::string& uid, int tasks) {
  return Map{{"uid", uid},          {"lane", "gatecheck"}, {"owner", "frontdesk"},
             {"shape", "daemon"},   {"rank", "critical"},  {"shards", tasks},
             {"cores", 4.0},        {"cards", 1.0},        {"ram_gb", 29.0},
             {"bundle", "img-gate"}, {"pull_gb", 0.5},     {"builds", Value()},
             {"yard", Value()},     {"together", false},   {"scatter", tasks > 1},
             {"loaners", false},    {"expect_s", 0.0},     {"mark_every_s", 0.0},
             {"mark_s", 0.0},       {"due_s", Value()}};
}
inline Map renewnudge(const std::string& uid, int tasks, double expect_s) {
  return Map{{"uid", uid},           {"lane", "renewnudge"}, {"owner", "dueskeepers"},
             {"shape", "batch"},     {"rank", "idle"},       {"shards", tasks},
             {"cores", 5.0},         {"cards", 1.0},         {"ram_gb", 36.0},
             {"bundle", "img-renew"}, {"pull_gb", 0.5},      {"builds", Value()},
             {"yard", Value()},      {"together", false},    {"scatter", false},
             {"loaners", true},      {"expect_s", expect_s}, {"mark_every_s", 0.0},
             {"mark_s", 0.0},        {"due_s", Value()}};
}
inline void set_field(Map& job, const std::string& key, Value value) {
  for (auto& [name, old] : job)
    if (name == key) old = std::move(value);
}

/// How many tasks of the job a transaction of the leader records with a machine.
inline std::size_t tasks_placed(const Value& transaction, const std::string& uid) {
  std::size_t placed = 0;
  for (const auto& write : transaction.items("writes")) {
    const auto* value = write.find("value");
    if (value == nullptr || !write.str("set").starts_with("elm/l/log/")) continue;
    for (const auto& block : value->items("b")) {
      if (block.l.size() != 5 || block.l[0].s != uid) continue;
      for (const auto& task : block.l[4].l)
        if (task.l.size() == 3 && !task.l[2].s.empty()) ++placed;
    }
  }
  return placed;
}

inline void upload(World& world, const Map& job, double run_s) {
  const Value spec(job);
  JobInfo info;
  info.submission = job;
  info.run_s = run_s;
  info.cpus = spec.dbl("cores");
  info.gpus = spec.dbl("cards");
  info.memory_gb = spec.dbl("ram_gb");
  info.pull_gb = spec.dbl("pull_gb");
  info.bundle = spec.str("bundle");
  info.loaners = spec.flag("loaners");
  if (const auto* builds = spec.find("builds")) {
    info.builds.emplace();
    for (const auto& build : builds->l) info.builds->push_back(build.s);
  }
  std::lock_guard<std::mutex> lock(world.mutex);
  world.jobs[spec.str("uid")] = info;
}

/// Submits until it is answered with anything but a status to be retried, for a minute at most.
inline int submit(World& world, const Map& job, double run_s) {
  upload(world, job, run_s);
  const auto uid = Value(job).str("uid");
  const double until = now() + 60;
  for (std::size_t k = 0; now() < until; ++k) {
    const std::size_t node = k % world.api_ports.size();
    Client client(world.api_ports[node]);
    const auto reply = client.request("POST", "/api/jobs", packed(Value(job)), 5);
    note("submit %s at %s: %d %s", uid.c_str(), world.node_names[node].c_str(), reply.status,
         reply.status == 200 || reply.status == 201 ? unpacked(reply.body).str("status").c_str() : "");
    if (reply.status == 200 || reply.status == 201 || reply.status == 400 || reply.status == 422)
      return reply.status;
    sleep_s(1);
  }
  return 0;
}

struct Poll {
  int http = 0;
  std::string status;
};
inline Poll poll_job(World& world, std::size_t node, const std::string& uid) {
  Client client(world.api_ports[node]);
  const auto reply = client.request("GET", "/api/jobs/" + uid, "", 2);
  Poll poll{reply.status, {}};
  if (reply.status == 200) poll.status = unpacked(reply.body).str("status");
  note("poll %s at %s: %d %s", uid.c_str(), world.node_names[node].c_str(), poll.http,
       poll.status.c_str());
  return poll;
}

}  // namespace stand
