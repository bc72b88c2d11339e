/// \file
/// A small deployment in virtual time: controllers of the real code, and simulations of the state
/// store, cloud, workers, network and users around them. This class connects them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "support/command_copies.hpp"
#include "support/fake_cloud.hpp"
#include "support/fake_state.hpp"
#include "support/gangs.hpp"
#include "support/message_copies.hpp"
#include "support/network_faults.hpp"
#include "support/processes.hpp"
#include "support/rules.hpp"
#include "support/users.hpp"
#include "support/worker.hpp"

namespace elmstall::test {

/// Everything runs on one virtual event loop, and every random draw comes from one generator: a
/// seed gives the same history each time, as long as the order of draws and events is kept.
class World {
 public:
  /// \param nodes number of controllers; 0 for tests that run their own
  /// \param next limits of the state store that are announced, see `lower_state_limits`
  /// \param other makes the controllers that run until their node is upgraded
  explicit World(unsigned seed, std::size_t nodes = 3,
                 std::optional<config::StateLimits> next = std::nullopt,
                 OtherNodeFactory other = {});

  // Time and randomness.

  /// Advances virtual time to `end`, in seconds since the start.
  void run_until(double end) { loop.run_until(end); }
  void run_for(double seconds) { run_until(loop.now() + seconds); }
  /// Uniform in [0, 1).
  [[nodiscard]] double random() { return std::uniform_real_distribution<double>(0, 1)(generator); }
  /// Uniform in [0, count).
  [[nodiscard]] std::size_t pick(std::size_t count) {
    return static_cast<std::size_t>(random() * static_cast<double>(count)) % count;
  }

  // Controllers.

  /// The controller on this node; null while its process is down or of the other version.
  [[nodiscard]] controller::Node* node(std::size_t index) { return processes.at(index).node.get(); }
  /// The controller that leads with a valid lease, or null.
  [[nodiscard]] controller::Node* leader() { return processes.leader(); }
  /// A controller of the other version leads.
  [[nodiscard]] bool other_version_leads() const { return processes.other_version_leads(); }
  [[nodiscard]] FakeStore& store(std::size_t index) { return *processes.at(index).store; }
  [[nodiscard]] std::size_t node_count() const {
    return processes.empty() ? external_node_count : processes.count();
  }
  /// Ends the node's process; the next one starts `restart_after_s` seconds later.
  void crash(std::size_t node, double restart_after_s) { processes.crash(node, restart_after_s); }
  /// The node's next process, and all after that, are of this version.
  void upgrade(std::size_t node) { processes.at(node).upgraded = true; }
  [[nodiscard]] bool upgraded(std::size_t node) const { return processes.at(node).upgraded; }
  /// Freezes the node's process while its clocks continue.
  void freeze(std::size_t node, double seconds) { processes.at(node).event_loop->freeze(seconds); }
  /// The steady clock of the node's processes from now on runs at this rate.
  void set_clock_rate(std::size_t node, double rate) { processes.set_clock_rate(node, rate); }
  /// How long the node's processes expect workers to let a gang's task wait.
  void set_gang_wait(std::size_t node, double seconds) {
    processes.at(node).settings.gang_wait_s = seconds;
  }

  // Requests.

  /// Passes a request to a node unless it is down or cut off from the workers.
  void send_to_node(std::size_t node, net::Request request, net::Responder respond);
  /// Sends a request and advances time by `wait_s`; returns the response, if there was one.
  std::optional<net::Response> response_of(std::size_t node, net::Request request, double wait_s);

  // Users; see `Users`.

  void register_job(const wire::JobSpec& spec) { users.register_job(spec); }
  void submit(const wire::JobSpec& spec) { users.submit(spec); }
  void cancel(const std::string& id) { users.cancel(id); }
  bool cancel_at(std::size_t node, const std::string& id, double wait_s = 0.3) {
    return users.cancel_at(node, id, wait_s);
  }
  void poll(const std::string& id) { users.poll(id); }
  [[nodiscard]] const wire::JobSpec* spec(const std::string& id) const { return users.spec(id); }
  [[nodiscard]] std::optional<wire::JobState> last_reported_state(const std::string& id) const {
    return users.last_reported_state(id);
  }
  [[nodiscard]] double last_response_at(const std::string& id) const {
    return users.last_response_at(id);
  }

  // The state store, the zones and the fleet.

  /// Settings for a large fleet: rare heartbeats, long leases, higher limits of the state store.
  /// Must be called before virtual time advances.
  void use_large_fleet_settings();
  void stop_state_store() { state.down = true; }
  void restore_state_store();
  /// From now on the state store enforces the announced limits.
  void lower_state_limits();
  /// Cuts a zone off from everything outside it, the state store too.
  void cut_zone(const std::string& zone);
  void restore_zone(const std::string& zone);
  /// No message is lost between this node and that zone.
  [[nodiscard]] bool reachable(std::size_t node, const std::string& zone) const;
  /// The cloud reclaims so many spot machines without an interruption notice.
  void reclaim_spot_machines(std::size_t count);

  std::mt19937 generator;
  VirtualLoop loop;
  config::Settings settings;
  std::vector<wire::MachineType> machine_types;
  RuleChecker rules;
  FakeGangs gangs;
  FakeState state;
  FakeCloud cloud;
  std::map<std::string, std::unique_ptr<FakeWorker>> workers;  ///< by id of the machine
  NetworkFaults network;
  CommandCopies command_copies;
  MessageCopies message_copies;
  Users users;
  PeerTraffic peer_traffic;

  /// Set by tests that run their own controllers: requests of workers go there.
  std::function<void(std::size_t node, net::Request, net::Responder)> external_delivery;
  std::size_t external_node_count = 0;  ///< number of those controllers
  /// Set by tests with real connections: the address at which a machine's worker takes commands.
  std::function<std::string(const std::string& machine)> worker_address;
  /// Called when the last task of a job has ended on its machine.
  std::function<void(const std::string& job)> on_last_task_end;
  /// Called when a machine has executed a command RPC, before it replies.
  std::function<void()> on_commands;

  /// Declared last, so that the controllers are destroyed before their dependencies.
  Processes processes;

 private:
  /// Checks twice a second that the rules on cancelled tasks hold.
  void check_rules_periodically();
  void set_state_store_refused(const std::string& zone, bool refused);
};

}  // namespace elmstall::test
