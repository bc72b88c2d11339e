#include "config/settings.hpp"

#include <algorithm>
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "config/constants.hpp"
#include "config/endpoint.hpp"

namespace elmstall::config {
namespace {

/// Reads required and optional keys of one file and names them in errors.
class Reader {
 public:
  Reader(const toml::table& root, std::string file) : root_(root), file_(std::move(file)) {}

  [[noreturn]] void fail(const std::string& key, const std::string& problem) const {
    throw SettingsError(file_ + ": " + key + ": " + problem);
  }

  [[nodiscard]] std::string text(const std::string& key) const {
    const auto value = root_.at_path(key).value<std::string>();
    if (!value) fail(key, root_.at_path(key) ? "must be text" : "is missing");
    if (value->empty()) fail(key, "is empty");
    return *value;
  }

  [[nodiscard]] std::string address(const std::string& key) const {
    auto value = text(key);
    check_address(key, value);
    return value;
  }

  void check_address(const std::string& key, const std::string& value) const {
    try {
      (void)parse_endpoint(value);
    } catch (const std::invalid_argument& error) {
      fail(key, error.what());
    }
  }

  [[nodiscard]] double number(const std::string& key, double low, double high) const {
    const auto node = root_.at_path(key);
    const auto value = node.value<double>();
    if (!value) fail(key, node ? "must be a number" : "is missing");
    if (!(*value >= low && *value <= high)) {
      fail(key, "must lie between " + std::to_string(low) + " and " + std::to_string(high));
    }
    return *value;
  }

  template <typename Fn>
  void each(const std::string& key, Fn&& fn) const {
    const auto node = root_.at_path(key);
    if (!node) return;
    const auto* list = node.as_array();
    if (list == nullptr) fail(key, "must be a list of tables");
    std::size_t position = 0;
    for (const auto& item : *list) {
      const auto* table = item.as_table();
      const std::string name = key + "[" + std::to_string(position++) + "]";
      if (table == nullptr) fail(name, "must be a table");
      fn(Reader(*table, file_ + ": " + name));
    }
  }

  [[nodiscard]] std::vector<std::string> texts(const std::string& key) const {
    const auto* list = root_.at_path(key).as_array();
    if (list == nullptr || list->empty()) fail(key, "must be a list of texts");
    std::vector<std::string> values;
    for (const auto& item : *list) {
      const auto value = item.value<std::string>();
      if (!value) fail(key, "must be a list of texts");
      values.push_back(*value);
    }
    return values;
  }

  [[nodiscard]] bool has_table(const std::string& key) const {
    const auto node = root_.at_path(key);
    if (node && !node.is_table()) fail(key, "must be a table");
    return static_cast<bool>(node);
  }

  [[nodiscard]] double number_or(const std::string& key, double low, double high,
                                 double fallback) const {
    return root_.at_path(key) ? number(key, low, high) : fallback;
  }

  [[nodiscard]] double optional_number(const std::string& key) const {
    return root_.at_path(key) ? number(key, 0, 1e12) : 0;
  }
  [[nodiscard]] std::string optional_text(const std::string& key) const {
    return root_.at_path(key).value<std::string>().value_or("");
  }

 private:
  const toml::table& root_;
  std::string file_;
};

constexpr double kMostPerSecond = 1e9;
constexpr double kMostValueKb = 1e6;
constexpr double kLeastTransactionWrites =
    4;  // a final state, the job's removal, a log value, one to spare
constexpr double kMostTransactionWrites = 1e6;

StateLimits read_state_limits(const Reader& reader) {
  StateLimits limits;
  limits.rps = reader.number("deployment.state.rps", 1, kMostPerSecond);
  limits.write_rps = reader.number("deployment.state.write_rps", 1, kMostPerSecond);
  limits.value_kb = reader.number("deployment.state.value_kb", 1, kMostValueKb);
  limits.transaction_writes_max = static_cast<int>(
      reader.number("deployment.state.txn_ops", kLeastTransactionWrites, kMostTransactionWrites));
  return limits;
}

/// Limits to come; what the table leaves out stays as it is.
std::optional<StateLimits> read_next_limits(const Reader& reader, const StateLimits& now) {
  if (!reader.has_table("deployment.state.next")) return std::nullopt;
  StateLimits limits;
  limits.rps = reader.number_or("deployment.state.next.rps", 1, kMostPerSecond, now.rps);
  limits.write_rps =
      reader.number_or("deployment.state.next.write_rps", 1, kMostPerSecond, now.write_rps);
  limits.value_kb =
      reader.number_or("deployment.state.next.value_kb", 1, kMostValueKb, now.value_kb);
  limits.transaction_writes_max =
      static_cast<int>(reader.number_or("deployment.state.next.txn_ops", kLeastTransactionWrites,
                                        kMostTransactionWrites, now.transaction_writes_max));
  return limits;
}

void read_deployment(const Reader& reader, Settings& settings) {
  settings.zones = reader.texts("deployment.zones");
  settings.skew_s = reader.number("deployment.skew_ms", 0, 3.6e6) / 1000;
  reader.each("deployment.teams", [&](const Reader& team) {
    settings.teams.push_back({team.text("name"), team.optional_number("cpus"),
                              team.optional_number("cpus_max"), team.optional_number("gpus"),
                              team.optional_number("gpus_max")});
  });
  reader.each("deployment.objectives", [&](const Reader& aim) {
    settings.objectives.push_back({aim.optional_text("kind"), aim.optional_text("class"),
                                   aim.optional_number("within_s"), aim.optional_number("share")});
  });
  settings.heartbeat_interval_s = reader.number("deployment.workers.report_s", 0.01, 3600);
  settings.lease_s = reader.number("deployment.workers.lease_s", 0.1, 86400);
  settings.cancel_s = reader.number("deployment.workers.cancel_s", 0.1, 86400);
  settings.gang_wait_s =
      reader.number_or("deployment.workers.gang_wait_s", 0.1, 86400, constants::kGangWaitDefault);
  settings.gang_peer_s =
      reader.number_or("deployment.workers.gang_peer_s", 0.1, 86400, constants::kGangPeerDefault);
  settings.state = read_state_limits(reader);
  settings.state_next = read_next_limits(reader, settings.state);
  settings.cloud_rps = reader.number("deployment.cloud.rps", 0.1, 1e6);
  settings.list_lag_s = reader.number("deployment.cloud.list_lag_s", 0, 3600);
  settings.cores = reader.number("deployment.quota.cores", 0.001, 1e4);
  settings.memory_mb = reader.number("deployment.quota.memory_mb", 1, 1e9);
  settings.fd_limit = static_cast<int>(reader.number("deployment.quota.fd_limit", 32, 1e9));
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
  return std::max(lease_s * 0.1,
                  cancel_s - lease_s * (1 + constants::kDrift) - constants::kLeaderLeaseMargin);
}

double Settings::lease_over_s() const {
  return lease_s * (1 + constants::kDrift) + constants::kLeaseMargin;
}

double Settings::silent_after_s() const {
  return 3 * heartbeat_interval_s + constants::kHeartbeatReplyTimeout;
}

Settings load_settings(const std::filesystem::path& file) {
  toml::table root;
  try {
    root = toml::parse_file(file.string());
  } catch (const toml::parse_error& error) {
    const auto& where = error.source().begin;
    const std::string line = where.line > 0 ? ":" + std::to_string(where.line) : "";
    throw SettingsError(file.string() + line + ": " + std::string(error.description()));
  }
  const Reader reader(root, file.string());
  Settings settings;
  settings.node = reader.text("node_name");
  settings.zone = reader.text("area");
  settings.api_addr = reader.address("api_addr");
  settings.peer_addr = reader.address("mesh_addr");
  reader.each("known", [&](const Reader& peer) {
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
