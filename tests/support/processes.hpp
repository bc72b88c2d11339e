/// \file
/// The controller processes of the test world: start, crash, restart and upgrade.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "controller/node.hpp"
#include "support/fake_state.hpp"
#include "support/fake_transport.hpp"
#include "support/fake_worker_rpc.hpp"
#include "support/other_version.hpp"
#include "support/virtual_time.hpp"

namespace elmstall::test {

class World;

/// Index of the node with this name: `node-2` is 2.
[[nodiscard]] inline std::size_t node_index(const std::string& name) {
  return static_cast<std::size_t>(name.back() - '0');
}
[[nodiscard]] inline std::string node_name(std::size_t index) {
  return "node-" + std::to_string(index);
}

/// One node: its settings, and the controller process that runs there now.
struct Process {
  config::Settings settings;
  std::unique_ptr<VirtualEventLoop> event_loop;
  std::unique_ptr<FakeStore> store;
  std::unique_ptr<FakeWorkerRpc> worker_rpc;
  std::unique_ptr<FakeTransport> transport;
  std::unique_ptr<controller::Node> node;  ///< null while no process of this version runs
  std::unique_ptr<OtherNode> other;        ///< the process, if it is of the other version
  bool upgraded = true;                    ///< the next process is of this version
  std::uint64_t incarnation = 0;           ///< processes started so far

  [[nodiscard]] bool alive() const { return node || other; }
  /// Passes a request to the process, which must be alive.
  void request(net::Request request, net::Responder respond);
  /// Passes a message of a peer, encoded, to the process, which must be alive.
  void receive(const std::string& bytes);
};

/// All nodes of the world.
class Processes {
 public:
  /// `other`: makes the controllers that run until their node is upgraded; empty: there are none.
  Processes(World& world, OtherNodeFactory other)
      : world_(world), other_factory_(std::move(other)) {}
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  /// Starts `count` nodes with the settings of the world, in alternating zones.
  void start(std::size_t count);
  /// Ends the process, and starts the next one `restart_after_s` seconds later.
  void crash(std::size_t index, double restart_after_s);
  /// The steady clock of this node's processes from now on runs at this rate.
  void set_clock_rate(std::size_t index, double rate) { clock_rates_[index] = rate; }

  [[nodiscard]] bool empty() const { return nodes_.empty(); }
  [[nodiscard]] std::size_t count() const { return nodes_.size(); }
  [[nodiscard]] Process& at(std::size_t index) { return nodes_[index]; }
  [[nodiscard]] const Process& at(std::size_t index) const { return nodes_[index]; }
  [[nodiscard]] std::vector<Process>& all() { return nodes_; }
  /// The controller of this version that leads with a valid lease, or null.
  [[nodiscard]] controller::Node* leader();
  [[nodiscard]] bool other_version_leads() const;

 private:
  [[nodiscard]] config::Settings settings_of(std::size_t index, std::size_t count) const;
  void start_process(std::size_t index);
  void connect(std::size_t index);
  [[nodiscard]] double clock_rate(std::size_t index) const;

  World& world_;
  OtherNodeFactory other_factory_;
  std::vector<Process> nodes_;
  /// Connections of ended processes: their requests may still be in flight.
  std::vector<std::unique_ptr<FakeStore>> retired_stores_;
  std::map<std::size_t, double> clock_rates_;
};

}  // namespace elmstall::test
