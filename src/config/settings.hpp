// The platform's settings file, and the operators' own properties.
#pragma once

#include <filesystem>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/properties.hpp"

namespace elmstall::config {

/// A settings file that can't be used. The text names file and key.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Peer {
  std::string name;
  std::string zone;
  std::string endpoint;
};

/// Limits and guarantees of a team; 0 means none.
struct Team {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

/// What the users aim at for one class of jobs.
struct Objective {
  std::string kind;
  std::string job_class;
  double within_s = 0;
  double share = 0;
};

/// What the state service takes.
struct StateLimits {
  double rps = 0;
  double write_rps = 0;  ///< puts and deletes a second
  double value_kb = 0;
  int transaction_writes_max = 0;  ///< puts and deletes in one transaction
};

struct Settings {
  std::string node;
  std::string zone;
  std::string api_addr;
  std::string peer_addr;
  std::vector<Peer> peers;
  std::string cloud_endpoint;
  std::string state_endpoint;
  std::vector<std::string> zones;
  double skew_s = 0;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 0;
  double lease_s = 0;
  double cancel_s = 0;
  /// How long a gang's task waits for the others, and how soon it notices that
  /// one is gone.
  double gang_wait_s = 0;
  double gang_peer_s = 0;
  /// The limits that the records are partitioned by.
  StateLimits state;
  /// Limits that come into force at some later moment, without notice.
  std::optional<StateLimits> state_next;
  double cloud_rps = 0;
  double list_lag_s = 0;
  double cores = 0;
  double memory_mb = 0;
  int fd_limit = 0;
  Tuning tuning;  ///< the operators' own

  [[nodiscard]] const Team* team(const std::string& name) const;
  /// What every request keeps to: the smaller of the limits now and to come.
  [[nodiscard]] StateLimits state_limits() const;
  /// Seconds. How long after the sending of its last confirmed state request
  /// a leader may still answer heartbeats, so that a cancellation it could not
  /// hear of is honoured in time: renewals end by then, and the workers'
  /// leases `lease_s` later.
  [[nodiscard]] double leader_lease_s() const;
  /// Seconds after which a lease that nobody renewed is certainly over.
  [[nodiscard]] double lease_over_s() const;
  /// Seconds without a heartbeat after which a machine counts as silent.
  [[nodiscard]] double silent_after_s() const;
};

/// Throws SettingsError.
[[nodiscard]] Settings load_settings(const std::filesystem::path& file);

}  // namespace elmstall::config
