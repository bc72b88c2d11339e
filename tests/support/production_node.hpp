/// \file
/// Interface to a controller of the production version, built from the repository's history. It
/// uses plain types, because the types of that version differ from those of the tests.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// Outside the project's namespace, which the build of the production version renames.
namespace production {

struct Peer {
  std::string name;
  std::string zone;
};
struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};
struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0;
};
/// The settings that affect decisions of a controller.
struct Settings {
  std::string node, zone;
  std::vector<Peer> peers;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double report_s = 0, lease_s = 0, cancel_s = 0;
  double state_rps = 0, state_write_rps = 0, state_value_kb = 0;
  int txn_ops = 0;
  double cloud_rps = 0, list_lag_s = 0, cores = 0, memory_mb = 0;
  int fd_limit = 0;
};

struct Entry {
  std::string key, value;
  std::uint64_t stamp = 0;
};
struct Change {
  std::string key;
  std::optional<std::string> value;
  std::uint64_t stamp = 0;
};
struct Guard {
  std::string key;
  std::uint64_t stamp = 0;
};
struct Write {
  std::string key;
  std::optional<std::string> value;
  std::uint64_t lease = 0;
};
struct CloudHost {
  std::string id, addr, type, zone;
  bool spot = false;
  int state = 0;
  double age_s = 0;
};

// Outcomes are the numbers of the enumerations, which both versions share.
using GetDone = std::function<void(int outcome, Entry, std::uint64_t revision)>;
using ListDone =
    std::function<void(int outcome, std::vector<Entry>, bool truncated, std::uint64_t revision)>;
using WatchDone = std::function<void(int outcome, std::uint64_t revision, std::vector<Change>)>;
using CommitDone =
    std::function<void(int outcome, std::uint64_t revision, std::vector<std::string> failed)>;
using GrantDone = std::function<void(int outcome, std::uint64_t lease)>;
using RenewDone = std::function<void(int outcome)>;
using TypesDone = std::function<void(std::optional<std::string> packed)>;
using CloudListDone = std::function<void(std::optional<std::vector<CloudHost>>)>;
using RentDone = std::function<void(int outcome, std::vector<std::string> hosts)>;
using OrderDone = std::function<void(int outcome, std::optional<std::string> report)>;

/// Operations that the controller calls.
struct Ports {
  std::function<double()> now, wall, random;
  std::function<void(double, std::function<void()>)> after;

  std::function<void(std::string key, GetDone)> get;
  std::function<void(std::string prefix, std::string since, ListDone)> list;
  std::function<void(std::string prefix, std::uint64_t since, double hold_s, WatchDone)> watch;
  std::function<void(std::vector<Guard>, std::vector<Write>, CommitDone)> commit;
  std::function<void(double life_s, GrantDone)> grant;
  std::function<void(std::uint64_t lease, RenewDone)> renew;

  std::function<void(TypesDone)> machine_types;
  std::function<void(std::string since, CloudListDone)> cloud_list;
  std::function<void(std::string name, std::string type, std::string zone, bool spot, int count,
                     RentDone)>
      rent;
  std::function<void(std::vector<std::string>, std::function<void(bool)>)> release;

  /// Sends packed commands to the worker at this address by RPC.
  std::function<void(std::string addr, std::uint64_t token, std::uint64_t session,
                     std::string orders, OrderDone)>
      order;

  /// Encoded messages; to all peers if no node is named.
  std::function<void(std::string node, std::string bytes)> send;
  std::function<void()> flush;
};

class Node {
 public:
  Node(const Settings& settings, Ports ports, const std::string& incarnation);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  using Respond = std::function<void(int status, std::string body, int retry_after_s)>;
  void on_request(const std::string& method, const std::string& path, const std::string& body,
                  Respond respond);
  void on_message(const std::string& bytes);
  [[nodiscard]] bool leads() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace production
