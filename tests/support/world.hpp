// A small deployment in virtual time: three nodes of the real engine, and
// plain models of state service, cloud, workers and users around them.
#pragma once

#include <memory>
#include <optional>
#include <set>

#include "controller/node.hpp"
#include "support/fake_state.hpp"
#include "support/gangs.hpp"
#include "support/rules.hpp"
#include "support/worker.hpp"

namespace elmstall::test {

/// One node's way to the workers' own addresses.
class FakeWorkerRpc : public clients::WorkerRpc {
 public:
  FakeWorkerRpc(World& world, std::size_t node) : world_(world), node_(node) {}
  void send_commands(const std::string& addr, std::uint64_t token, std::uint64_t epoch,
                     const std::vector<wire::WorkerCommand>& commands,
                     std::function<void(clients::CommandResult)> done) override;

 private:
  World& world_;
  std::size_t node_;
};

/// Rents machines; its list lags.
class FakeCloud : public clients::Cloud {
 public:
  explicit FakeCloud(World& world) : world_(world) {}
  void machine_types(
      std::function<void(std::optional<std::vector<wire::MachineType>>)> done) override;
  void list(const std::string& since,
            std::function<void(std::optional<wire::CloudPage>)> done) override;
  void provision(const std::string& name, const std::string& type, const std::string& zone,
                 bool spot, int count, std::function<void(clients::ProvisionResult)> done) override;
  void terminate(const std::vector<std::string>& machines, std::function<void(bool)> done) override;
  bool down = false;
  int capacity = 12;
  int lose_answers = 0;  ///< so many rentals are carried out without an answer

 private:
  World& world_;
  std::map<std::string, std::vector<std::string>> served_;
  std::map<double, wire::CloudPage> history_;
};

/// A controller of another version in the place of one of this.
class OtherNode {
 public:
  virtual ~OtherNode() = default;
  virtual void on_request(net::Request request, net::Responder respond) = 0;
  virtual void on_message(const std::string& bytes) = 0;
  [[nodiscard]] virtual bool leads() const = 0;
};
struct OtherNodePorts {
  const config::Settings& settings;
  VirtualEventLoop& event_loop;
  store::StateStore& store;
  clients::Cloud& cloud;
  clients::WorkerRpc& worker_rpc;
  peer::Transport& transport;
  std::string incarnation;
};
using OtherNodeFactory = std::function<std::unique_ptr<OtherNode>(const OtherNodePorts&)>;

class World {
 public:
  /// `next`: limits of the state service that are announced. `other`: makes the
  /// controllers that run until they are upgraded.
  explicit World(unsigned seed, std::size_t nodes = 3,
                 std::optional<config::StateLimits> next = std::nullopt,
                 OtherNodeFactory other = {});
  ~World();

  void run_until(double end) { loop.run_until(end); }
  void crash(std::size_t node, double back_after);
  /// Its next process, and all after that, are of this version.
  void upgrade(std::size_t node) { nodes_[node].upgraded = true; }
  [[nodiscard]] bool upgraded(std::size_t node) const { return nodes_[node].upgraded; }
  /// A controller of the other version leads.
  [[nodiscard]] bool other_leads() const;
  /// Cuts what crosses between two zones; messages are lost.
  void part_zones(bool apart) { zones_apart_ = apart; }
  /// Cuts a zone off from everything outside it, the state service too.
  void cut_zone(const std::string& zone, bool cut);
  void freeze(std::size_t node, double seconds) { nodes_[node].event_loop->freeze(seconds); }
  /// How long the node's processes take workers to let a gang's task wait.
  void set_gang_wait(std::size_t node, double seconds) {
    nodes_[node].settings.gang_wait_s = seconds;
  }
  /// For a large fleet: rare heartbeats, long leases, a state service with more room.
  /// To be called before anything runs.
  void use_large_site();
  /// The node's processes from now on have a steady clock that runs like this.
  void set_clock(std::size_t node, double rate) { clocks_[node] = rate; }
  void cut_peer_links(std::size_t node, bool cut) { peer_links_cut_[node] = cut; }
  void cut_workers(std::size_t node, bool cut) { worker_cut_[node] = cut; }
  void state_down(bool down);
  /// From now on the announced limits hold.
  void lower_state_limits();
  void take_back(std::size_t count);

  /// A job that somebody else submits.
  void expect(const wire::JobSpec& spec);
  void submit(const wire::JobSpec& spec);
  void cancel(const std::string& id);
  /// Through this node, once; true if the user was told that it is cancelled.
  bool cancel_at(std::size_t node, const std::string& id, double patience = 0.3);
  /// Accepted jobs that wait though a machine that fits has room and their team
  /// is under its limit.
  [[nodiscard]] std::vector<std::string> waiting_beside_room() const;
  void poll(const std::string& id);
  [[nodiscard]] std::optional<wire::JobState> last_told(const std::string& id) const;
  /// When a poll for it was last answered; before all time if never.
  [[nodiscard]] double replied_at(const std::string& id) const;

  [[nodiscard]] bool workers_cut(std::size_t node) const {
    const auto found = worker_cut_.find(node);
    return found != worker_cut_.end() && found->second;
  }
  [[nodiscard]] bool reachable(std::size_t node, const std::string& zone) const;
  void send_to_node(std::size_t node, net::Request request, net::Responder respond);
  /// What the node has answered after so many seconds, if anything.
  std::optional<net::Response> answer_of(std::size_t node, net::Request request, double patience);
  [[nodiscard]] const wire::JobSpec* spec(const std::string& id) const;
  [[nodiscard]] controller::Node* node(std::size_t index) { return nodes_[index].node.get(); }
  [[nodiscard]] FakeStore& store(std::size_t index) { return *nodes_[index].store; }
  [[nodiscard]] controller::Node* leader();
  [[nodiscard]] std::size_t node_count() const {
    return nodes_.empty() ? outside_nodes : nodes_.size();
  }
  [[nodiscard]] double random() { return std::uniform_real_distribution<double>(0, 1)(generator); }
  [[nodiscard]] std::size_t pick(std::size_t count) {
    return static_cast<std::size_t>(random() * static_cast<double>(count)) % count;
  }

  std::mt19937 generator;
  VirtualLoop loop;
  config::Settings settings;
  std::vector<wire::MachineType> machine_types;
  Rules rules;
  FakeGangs gangs;
  FakeState state;
  FakeCloud cloud;
  std::map<std::string, std::unique_ptr<FakeWorker>> workers;
  /// Instead of nodes of its own: the world's workers report through this.
  std::function<void(std::size_t node, net::Request, net::Responder)> carry;
  std::size_t outside_nodes = 0;
  /// The last task of this job has just ended on its machine.
  std::function<void(const std::string& job)> on_last_task;
  /// Commands were carried out by a machine; their reply is on its way.
  std::function<void()> on_commands;
  double hold_commands =
      0;  ///< commands sent straight to workers are carried out so many seconds later
  bool lose_replies =
      false;               ///< commands sent straight to workers are carried out without an answer
  bool no_direct = false;  ///< commands sent straight to workers get nowhere
  double loss = 0;         ///< share of workers' and users' messages lost

  std::size_t peer_messages = 0;  ///< sent between controllers so far
  std::size_t peer_flushes = 0;   ///< writes in which they were sent

 private:
  struct Transport;
  struct Process {
    config::Settings settings;
    std::unique_ptr<VirtualEventLoop> event_loop;
    std::unique_ptr<FakeStore> store;
    std::unique_ptr<FakeWorkerRpc> worker_rpc;
    std::unique_ptr<Transport> transport;
    std::unique_ptr<controller::Node> node;
    std::unique_ptr<OtherNode> other;  ///< instead of `node`
    bool upgraded = true;
    std::uint64_t incarnation = 0;
    [[nodiscard]] bool alive() const { return node || other; }
    void request(net::Request request, net::Responder respond) {
      if (other) return other->on_request(std::move(request), std::move(respond));
      node->on_request(std::move(request), std::move(respond));
    }
    void message(const std::string& bytes) {
      if (other) return other->on_message(bytes);
      node->on_message(peer::decode(bytes));
    }
  };
  void boot(std::size_t index);
  void ask(std::size_t node, const std::string& method, const std::string& path, std::string body,
           double limit, std::function<void(std::optional<net::Response>)> done);
  void repeat_submit(const wire::JobSpec& spec, double until);
  void repeat_cancel(const std::string& id, double until);
  void watch_time();

  OtherNodeFactory other_;
  std::vector<Process> nodes_;
  /// Ways of dead processes: what they sent is still under way.
  std::vector<std::unique_ptr<FakeStore>> old_stores_;
  std::map<std::size_t, bool> peer_links_cut_, worker_cut_;
  std::map<std::size_t, double> clocks_;
  bool zones_apart_ = false;
  std::set<std::string> zones_cut_;
  std::map<std::string, wire::JobSpec> specs_;
  std::map<std::string, wire::JobState> told_;
  std::map<std::string, double> answered_;
};

}  // namespace elmstall::test
