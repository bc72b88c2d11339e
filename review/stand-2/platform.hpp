// Stand-ins of the platform for the cases of the second review: state service, cloud, and the
// processes of the controllers. Everything listens on loopback addresses and runs on one asio loop
// and the real clock. The behaviour is that of PROTOCOL-elmstall.md.
#pragma once

#include <sys/types.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "wire/codec.hpp"

namespace review {

using elmstall::net::Request;
using elmstall::net::Responder;
using elmstall::net::Response;

// The real clock, the loop and the record of the run.
class Run {
 public:
  Run(asio::io_context& io, const std::string& record_file);
  ~Run();
  // Seconds since the start of the run.
  double now() const;
  void after(double seconds, std::function<void()> fn);
  // Writes one line to the record, with the time.
  void note(const std::string& line);
  asio::io_context& io;

 private:
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  FILE* file_;
};

// A port of 127.0.0.1 that is free now.
std::uint16_t free_port();

// The state service.
class StateService {
 public:
  explicit StateService(Run& run);
  // Each controller reaches the service at an address of its own.
  std::uint16_t port(std::size_t node) const { return servers_[node]->port(); }

  // Whether a controller is refused: it gets 503, and its open watches wait.
  std::array<bool, 3> refused{};
  // Whether the connections of a controller are cut: requests are executed when the cut ends, and
  // nobody waits for their answers any more.
  std::array<bool, 3> cut{};

  // Requests, and puts and deletes, that it takes in a second; above them it answers 429.
  double rps = 120;
  double write_rps = 25;
  // Delay of the answer to a request, in seconds.
  std::function<double(const Request&)> delay = [](const Request&) { return 0.002; };
  // Whether the answer says `Connection: close`, after which the connection is closed.
  std::function<bool(const Request&)> closes = [](const Request&) { return false; };
  // Called with each request as it arrives.
  std::function<void(const Request&)> seen = [](const Request&) {};

 private:
  struct Value {
    std::string packed;
    std::uint64_t stamp = 0;
    std::uint64_t hold = 0;
  };
  struct Change {
    std::string key;
    std::optional<std::string> packed;
    std::uint64_t stamp = 0;
  };
  struct Grant {
    double life_s = 0;
    double ends_at = 0;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t since = 0;
    double until = 0;
    std::function<void(Response)> respond;
    std::size_t node = 0;
  };

  void handle(std::size_t node, const Request& request, Responder respond);
  Response execute(const Request& request);
  // Whether the rates allow the request, which then counts.
  bool within_rates(const Request& request);
  Response commit(const Request& request);
  Response list(const std::string& path);
  void put(const std::string& key, std::optional<std::string> packed, std::uint64_t hold);
  std::optional<Response> changes(const std::string& prefix, std::uint64_t since, bool empty_too);
  void answer_watches();
  void tick();

  Run& run_;
  std::map<std::string, Value> values_;
  std::deque<Change> log_;
  std::map<std::uint64_t, Grant> grants_;
  std::vector<Watch> watches_;
  std::uint64_t revision_ = 1;
  double requests_left_ = 0;
  double writes_left_ = 0;
  double refilled_at_ = -1;
  std::uint64_t next_grant_ = 1;
  std::vector<std::unique_ptr<elmstall::net::HttpServer>> servers_;
};

// A TCP proxy between two addresses of 127.0.0.1.
class Proxy {
 public:
  enum class Mode { open, held, reset };
  Proxy(Run& run, std::uint16_t target);
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // `held`: bytes are kept and delivered in order when the proxy is open again, also when the
  // sender has closed its connection. `reset`: connections are reset, and new ones too.
  void set(Mode mode);

 private:
  struct Link;
  void accept();
  Run& run_;
  asio::ip::tcp::acceptor acceptor_;
  std::uint16_t target_;
  Mode mode_ = Mode::open;
  std::vector<std::weak_ptr<Link>> links_;
};

// A machine of the cloud.
struct Host {
  std::string name, addr, build, yard, status;
  bool loaners = false;
  double hired_at = 0;
};

// The cloud, with one machine type.
class Cloud {
 public:
  struct Flavor {
    std::string name;
    double cores = 0, cards = 0, ram_gb = 0, local_gb = 0, fetch_gb_per_s = 0;
    double price = 0, low_price = 0, ready_s = 0;
    std::vector<std::string> yards;
  };
  Cloud(Run& run, Flavor flavor);
  // Each controller reaches the cloud at an address of its own.
  std::uint16_t port(std::size_t node) const { return servers_[node]->port(); }
  // Called with each machine that a controller asks to release, before it is gone.
  std::function<void(std::size_t node, const std::string& host)> releasing =
      [](std::size_t, const std::string&) {};
  // Machines that may still be rented, by zone and "loaners".
  std::map<std::pair<std::string, bool>, int> capacity;
  std::function<void(Host&)> hired = [](Host&) {};
  std::function<void(const std::string&)> released = [](const std::string&) {};
  std::map<std::string, Host> hosts;

 private:
  void handle(std::size_t node, const Request& request, const Responder& respond);
  Run& run_;
  Flavor flavor_;
  std::map<std::string, std::vector<std::string>> hires_;
  int next_host_ = 1;
  std::vector<std::unique_ptr<elmstall::net::HttpServer>> servers_;
};

// The settings of a small deployment (those of the brief's first site).
struct Site {
  std::vector<std::string> zones{"kochi-east", "kollam-south"};
  double report_s = 1.5, lease_s = 10, cancel_s = 40;
  double rps = 120, write_rps = 25, value_kb = 4;
  int txn_ops = 8;
  double cloud_rps = 8, list_lag_s = 3;
  double cores = 0.096, memory_mb = 56;
  int fd_limit = 900;
  std::string teams;  // TOML
};

// The controllers, each one process.
class Controllers {
 public:
  Controllers(Run& run, std::string program, std::string folder, const Site& site,
              const StateService& state, const Cloud& cloud);
  ~Controllers();
  // The proxy through which the controller `from` sends to the controller `to`.
  Proxy& link(std::size_t from, std::size_t to) { return *links_.at({from, to}); }
  void start(std::size_t node);
  void signal(std::size_t node, int number);
  // Whether the process still runs. A process that has ended is noted in the record.
  bool alive(std::size_t node);
  // Resident memory in MB; 0 if the process has ended.
  double memory_mb(std::size_t node) const;
  const std::string& name(std::size_t node) const { return nodes_[node].name; }
  const std::string& zone(std::size_t node) const { return nodes_[node].zone; }
  std::uint16_t port(std::size_t node) const { return nodes_[node].api; }
  static constexpr std::size_t kCount = 3;

 private:
  struct Node {
    std::string name, zone, settings, log;
    std::uint16_t api = 0, mesh = 0;
    pid_t pid = 0;
  };
  Run& run_;
  std::string program_;
  std::vector<Node> nodes_;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<Proxy>> links_;
};

// A client of one address that opens a connection for each request, as a user behind the
// connection-level load balancer may.
void send(Run& run, std::uint16_t port, const std::string& method, const std::string& path,
          const std::string& body, double timeout_s,
          std::function<void(int status, std::string body)> done);

// A submission in the form of the protocol.
struct JobForm {
  std::string uid = {}, lane = {}, owner = {}, shape = "batch", rank = "idle";
  std::uint64_t shards = 1;
  double cores = 5, cards = 1, ram_gb = 36;
  bool together = false, scatter = false, loaners = true;
  double pull_gb = 4, expect_s = 60;
  // The allowed machine types; nothing: null, any type.
  std::optional<std::vector<std::string>> builds = {};
};
std::string pack(const JobForm& job);
// The field `status` of an answer to a user; empty if there is none.
std::string status_of(const std::string& body);

}  // namespace review
