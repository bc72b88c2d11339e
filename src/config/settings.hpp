/// @file
/// The settings of one node: the platform's settings file (TOML), and the operators' own
/// properties. The keys of both files are described in docs/operations.md.
#pragma once

#include <filesystem>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/properties.hpp"

namespace elmstall::config {

/// A settings file or properties file that can't be used. The text names the file, the key and the
/// problem. The only error type of this package, except that parse_endpoint() throws
/// std::invalid_argument.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Another controller.
struct Peer {
  std::string name;      ///< value of the setting `node` of that controller
  std::string zone;      ///< empty: not stated
  std::string endpoint;  ///< `ADDRESS:PORT` for messages between controllers
};

/// Guarantees and limits of a team; 0 means that there is none.
struct Team {
  std::string name;     ///< name that jobs state as their team
  double cpus = 0;      ///< guaranteed
  double cpus_max = 0;  ///< limit
  double gpus = 0;      ///< guaranteed
  double gpus_max = 0;  ///< limit
};

/// A service-level objective for one class of jobs.
struct Objective {
  std::string kind;       ///< which event of a job it is about, for example `finished`
  std::string job_class;  ///< the class of jobs to which it applies
  double within_s = 0;    ///< seconds from the submission to the event
  double share = 0;       ///< share of the jobs that should meet it
};

/// Limits of the state store, for all nodes together.
struct StateLimits {
  double rps = 0;                  ///< requests per second
  double write_rps = 0;            ///< puts and deletes per second
  double value_kb = 0;             ///< size of one value as JSON, KiB
  int transaction_writes_max = 0;  ///< puts and deletes in one transaction
};

/// The settings of one node. They do not change while it runs.
struct Settings {
  std::string node;                ///< name of this node
  std::string zone;                ///< zone in which it runs
  std::string api_addr;            ///< `ADDRESS:PORT` that serves users and workers
  std::string peer_addr;           ///< `ADDRESS:PORT` for messages between controllers
  std::vector<Peer> peers;         ///< the other controllers
  std::string cloud_endpoint;      ///< `ADDRESS:PORT` of the cloud's interface
  std::string state_endpoint;      ///< `ADDRESS:PORT` of the state store
  std::vector<std::string> zones;  ///< all zones of the deployment
  double skew_s = 0;        ///< bound on the difference of wall clocks that the deployment states
  std::vector<Team> teams;  ///< teams with guarantees or limits
  std::vector<Objective> objectives;  ///< objectives, in the order of the file
  double heartbeat_interval_s = 0;    ///< seconds between two heartbeats of a worker
  double lease_s = 0;                 ///< life of a worker's lease, seconds
  /// Seconds from the acceptance of a cancellation until all tasks of the job must have stopped.
  double cancel_s = 0;
  double gang_wait_s = 0;  ///< how long a gang's task waits on its machine for the others, seconds
  double gang_peer_s = 0;  ///< how soon a gang's task detects the loss of another one, seconds
  /// The limits now. They determine how jobs are divided into blocks.
  StateLimits state;
  /// Announced limits that replace `state` at an unknown later moment.
  std::optional<StateLimits> state_next;
  double cloud_rps = 0;   ///< requests per second that the cloud accepts
  double list_lag_s = 0;  ///< how far the cloud's machine list may be behind, seconds
  double cores = 0;       ///< processor cores that this process may use
  double memory_mb = 0;   ///< memory that this process may use
  int fd_limit = 0;       ///< file descriptors that this process may open
  Tuning tuning;          ///< the operators' own properties

  /// The team with this name, or null.
  [[nodiscard]] const Team* team(const std::string& name) const;
  /// The limits that every request must respect: the minimum of the present and the announced ones.
  [[nodiscard]] StateLimits state_limits() const;
  /// The leader lease W, in seconds (rule 5): how long a leader may answer heartbeats after it sent
  /// the last request to the state store that was confirmed. A cancellation that does not reach the
  /// leader thereby still takes effect in time: no lease is renewed after W, and the last lease of
  /// a worker expires `lease_s` later.
  [[nodiscard]] double leader_lease_s() const;
  /// Seconds after which a worker's lease that was not renewed has certainly expired.
  [[nodiscard]] double lease_expired_after_s() const;
  /// Seconds without a heartbeat after which a machine is considered unreachable.
  [[nodiscard]] double heartbeat_timeout_s() const;
};

/// Reads the settings file; `tuning` keeps its defaults. Throws SettingsError if the file can't be
/// read, or a value is missing or out of range.
[[nodiscard]] Settings load_settings(const std::filesystem::path& file);

}  // namespace elmstall::config
