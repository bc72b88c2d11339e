#include "config/settings.hpp"

#include <algorithm>
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "config/constants.hpp"
#include "config/endpoint.hpp"

namespace elmstall::config {
namespace {

// Bounds of the accepted values. They only exclude values with which the program could not work.
constexpr double kMaxAmount = 1e12;
constexpr double kMaxPerSecond = 1e9;
constexpr double kMaxValueKb = 1e6;
constexpr double kMaxTransactionWrites = 1e6;
/// The smallest limit that the program can work with. One transaction writes the final state of a
/// job, removes the record of the job, and writes one value of the ledger log; one more is spare.
constexpr double kMinTransactionWrites = 4;
constexpr double kHourS = 3600;
constexpr double kDayS = 86400;
constexpr double kMillisecondsPerSecond = 1000;

/// Reads the keys of one table of the settings file. Keys are paths with dots. Every function
/// throws SettingsError, which names the file and the key, if the value is not of the expected
/// form.
class Reader {
 public:
  /// `where` names the table in errors: the file and, below its root, the path of the table.
  Reader(const toml::table& root, std::string where) : root_(root), where_(std::move(where)) {}

  /// Throws SettingsError.
  [[noreturn]] void fail(const std::string& key, const std::string& problem) const {
    throw SettingsError(where_ + ": " + key + ": " + problem);
  }

  /// A text that is present and not empty.
  [[nodiscard]] std::string text(const std::string& key) const {
    const auto value = root_.at_path(key).value<std::string>();
    if (!value) fail(key, root_.at_path(key) ? "must be text" : "is missing");
    if (value->empty()) fail(key, "is empty");
    return *value;
  }

  /// A text, or an empty one if the key is missing or not a text.
  [[nodiscard]] std::string optional_text(const std::string& key) const {
    return root_.at_path(key).value<std::string>().value_or("");
  }

  /// A network address as parse_endpoint() reads it.
  [[nodiscard]] std::string address(const std::string& key) const {
    auto value = text(key);
    try {
      (void)parse_endpoint(value);
    } catch (const std::invalid_argument& error) {
      fail(key, error.what());
    }
    return value;
  }

  /// A number that is present and lies between the bounds, which are allowed themselves.
  [[nodiscard]] double number(const std::string& key, double low, double high) const {
    const auto node = root_.at_path(key);
    const auto value = node.value<double>();
    if (!value) fail(key, node ? "must be a number" : "is missing");
    // Written this way so that NaN is rejected as well.
    if (!(*value >= low && *value <= high)) {
      fail(key, "must lie between " + std::to_string(low) + " and " + std::to_string(high));
    }
    return *value;
  }

  /// A number between the bounds, or the fallback if the key is missing.
  [[nodiscard]] double number_or(const std::string& key, double low, double high,
                                 double fallback) const {
    return root_.at_path(key) ? number(key, low, high) : fallback;
  }

  /// A number that is not negative, or 0 if the key is missing.
  [[nodiscard]] double optional_number(const std::string& key) const {
    return number_or(key, 0, kMaxAmount, 0);
  }

  /// A list of texts, none of them empty, with at least one element.
  [[nodiscard]] std::vector<std::string> texts(const std::string& key) const {
    const auto* list = root_.at_path(key).as_array();
    if (list == nullptr || list->empty()) fail(key, "must be a list of texts");
    std::vector<std::string> values;
    for (const auto& item : *list) {
      const auto value = item.value<std::string>();
      if (!value || value->empty()) fail(key, "must be a list of texts that are not empty");
      values.push_back(*value);
    }
    return values;
  }

  /// Whether there is a table with this key.
  [[nodiscard]] bool has_table(const std::string& key) const {
    const auto node = root_.at_path(key);
    if (node && !node.is_table()) fail(key, "must be a table");
    return static_cast<bool>(node);
  }

  /// Calls the function with a Reader for each table of a list of tables. The list may be missing.
  template <typename Function>
  void for_each_table(const std::string& key, Function&& function) const {
    const auto node = root_.at_path(key);
    if (!node) return;
    const auto* list = node.as_array();
    if (list == nullptr) fail(key, "must be a list of tables");
    std::size_t position = 0;
    for (const auto& item : *list) {
      const auto* table = item.as_table();
      const std::string name = key + "[" + std::to_string(position++) + "]";
      if (table == nullptr) fail(name, "must be a table");
      function(Reader(*table, where_ + ": " + name));
    }
  }

 private:
  const toml::table& root_;
  std::string where_;
};

StateLimits read_state_limits(const Reader& reader) {
  StateLimits limits;
  limits.rps = reader.number("deployment.state.rps", 1, kMaxPerSecond);
  limits.write_rps = reader.number("deployment.state.write_rps", 1, kMaxPerSecond);
  limits.value_kb = reader.number("deployment.state.value_kb", 1, kMaxValueKb);
  limits.transaction_writes_max = static_cast<int>(
      reader.number("deployment.state.txn_ops", kMinTransactionWrites, kMaxTransactionWrites));
  return limits;
}

/// The limits that come into force later, if the file announces some. Those that it does not name
/// keep their present values.
std::optional<StateLimits> read_next_limits(const Reader& reader, const StateLimits& now) {
  if (!reader.has_table("deployment.state.next")) return std::nullopt;
  StateLimits limits;
  limits.rps = reader.number_or("deployment.state.next.rps", 1, kMaxPerSecond, now.rps);
  limits.write_rps =
      reader.number_or("deployment.state.next.write_rps", 1, kMaxPerSecond, now.write_rps);
  limits.value_kb =
      reader.number_or("deployment.state.next.value_kb", 1, kMaxValueKb, now.value_kb);
  limits.transaction_writes_max =
      static_cast<int>(reader.number_or("deployment.state.next.txn_ops", kMinTransactionWrites,
                                        kMaxTransactionWrites, now.transaction_writes_max));
  return limits;
}

void read_teams(const Reader& reader, Settings& settings) {
  reader.for_each_table("deployment.teams", [&](const Reader& table) {
    Team team;
    team.name = table.text("name");
    team.cpus = table.optional_number("cpus");
    team.cpus_max = table.optional_number("cpus_max");
    team.gpus = table.optional_number("gpus");
    team.gpus_max = table.optional_number("gpus_max");
    settings.teams.push_back(std::move(team));
  });
}

void read_objectives(const Reader& reader, Settings& settings) {
  reader.for_each_table("deployment.objectives", [&](const Reader& table) {
    Objective objective;
    objective.kind = table.optional_text("kind");
    objective.job_class = table.optional_text("class");
    objective.within_s = table.optional_number("within_s");
    objective.share = table.optional_number("share");
    settings.objectives.push_back(std::move(objective));
  });
}

void read_workers(const Reader& reader, Settings& settings) {
  settings.heartbeat_interval_s = reader.number("deployment.workers.report_s", 0.01, kHourS);
  settings.lease_s = reader.number("deployment.workers.lease_s", 0.1, kDayS);
  settings.cancel_s = reader.number("deployment.workers.cancel_s", 0.1, kDayS);
  settings.gang_wait_s =
      reader.number_or("deployment.workers.gang_wait_s", 0.1, kDayS, constants::kGangWaitDefault);
  settings.gang_peer_s =
      reader.number_or("deployment.workers.gang_peer_s", 0.1, kDayS, constants::kGangPeerDefault);
}

void read_quota(const Reader& reader, Settings& settings) {
  settings.cores = reader.number("deployment.quota.cores", 0.001, 1e4);
  settings.memory_mb = reader.number("deployment.quota.memory_mb", 1, 1e9);
  settings.fd_limit = static_cast<int>(reader.number("deployment.quota.fd_limit", 32, 1e9));
}

void read_deployment(const Reader& reader, Settings& settings) {
  settings.zones = reader.texts("deployment.zones");
  settings.skew_s = reader.number("deployment.skew_ms", 0, kHourS * kMillisecondsPerSecond) /
                    kMillisecondsPerSecond;
  read_teams(reader, settings);
  read_objectives(reader, settings);
  read_workers(reader, settings);
  settings.state = read_state_limits(reader);
  settings.state_next = read_next_limits(reader, settings.state);
  settings.cloud_rps = reader.number("deployment.cloud.rps", 0.1, 1e6);
  settings.list_lag_s = reader.number("deployment.cloud.list_lag_s", 0, kHourS);
  read_quota(reader, settings);
}

toml::table parse_file(const std::filesystem::path& file) {
  try {
    return toml::parse_file(file.string());
  } catch (const toml::parse_error& error) {
    const auto& where = error.source().begin;
    const std::string line = where.line > 0 ? ":" + std::to_string(where.line) : "";
    throw SettingsError(file.string() + line + ": " + std::string(error.description()));
  }
}

}  // namespace

const Team* Settings::team(const std::string& name) const {
  const auto found =
      std::find_if(teams.begin(), teams.end(), [&](const Team& team) { return team.name == name; });
  return found == teams.end() ? nullptr : &*found;
}

StateLimits Settings::state_limits() const {
  if (!state_next) return state;
  return {std::min(state.rps, state_next->rps), std::min(state.write_rps, state_next->write_rps),
          std::min(state.value_kb, state_next->value_kb),
          std::min(state.transaction_writes_max, state_next->transaction_writes_max)};
}

double Settings::leader_lease_s() const {
  constexpr double min_share = 0.1;  // of a worker's lease, if the settings leave no time
  const double worker_lease_s = lease_s * (1 + constants::kMaxClockDrift);
  return std::max(lease_s * min_share, cancel_s - worker_lease_s - constants::kLeaderLeaseMargin);
}

double Settings::lease_expired_after_s() const {
  return lease_s * (1 + constants::kMaxClockDrift) + constants::kLeaseMargin;
}

double Settings::heartbeat_timeout_s() const {
  constexpr int missed_heartbeats = 3;
  return missed_heartbeats * heartbeat_interval_s + constants::kHeartbeatReplyTimeout;
}

Settings load_settings(const std::filesystem::path& file) {
  const auto root = parse_file(file);
  const Reader reader(root, file.string());
  Settings settings;
  settings.node = reader.text("node_name");
  settings.zone = reader.text("area");
  settings.api_addr = reader.address("api_addr");
  settings.peer_addr = reader.address("mesh_addr");
  reader.for_each_table("known", [&](const Reader& peer) {
    settings.peers.push_back(
        {peer.text("node_name"), peer.optional_text("area"), peer.address("endpoint")});
  });
  settings.cloud_endpoint = reader.address("endpoints.cloud");
  settings.state_endpoint = reader.address("endpoints.state");
  read_deployment(reader, settings);
  if (settings.cancel_s <= settings.lease_s) {
    reader.fail("deployment.workers.cancel_s",
                "must be larger than lease_s, or no cancellation can be honoured");
  }
  return settings;
}

}  // namespace elmstall::config
