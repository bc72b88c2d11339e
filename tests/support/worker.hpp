// A worker as the protocol page describes it, in virtual time.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clients/worker_rpc.hpp"
#include "net/http_server.hpp"
#include "sched/resources.hpp"

namespace elmstall::test {

class World;

class FakeWorker {
 public:
  FakeWorker(World& world, std::string id, std::string type, std::string zone, bool spot);
  void start();
  void die();
  [[nodiscard]] bool dead() const { return dead_; }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const std::string& type() const { return type_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] bool spot() const { return spot_; }
  /// Straight to this worker, whenever it arrives.
  clients::CommandResult on_command_rpc(std::uint64_t token, std::uint64_t epoch,
                                        const std::vector<wire::WorkerCommand>& commands);
  /// Stands still with all its tasks, and goes on later.
  void hang(double seconds);
  [[nodiscard]] bool hung() const;
  // What becomes of a gang's task here, decided for the whole gang.
  using TaskName = std::pair<std::string, std::uint32_t>;
  void show_gang_task(const TaskName& name, std::uint64_t serial, wire::TaskState state);
  void end_gang_task(const TaskName& name, std::uint64_t serial, wire::EndCause cause, bool saved);
  /// It is up and has reported.
  [[nodiscard]] bool heartbeats() const { return sequence_ > 0; }
  /// What its tasks take that wait for their image.
  [[nodiscard]] sched::Amount fetching() const;
  [[nodiscard]] double hung_until() const { return hung_until_; }
  bool cut = false;  ///< from every node
  bool responses_dropped =
      false;  ///< its heartbeats arrive, but neither answers nor commands reach it
  bool heartbeats_dropped = false;  ///< it reaches no node, while direct commands reach it
  double copies = 0;                ///< share of its heartbeats of which a copy comes late
  double copy_after = 0;            ///< seconds; 0: somewhere between 2 and 42
  double clock = 1;                 ///< how fast its steady clock runs
  std::optional<double> interruption_at;
  double fail_share = 0;  ///< of its tasks, for a faulty machine

 private:
  struct Task {
    std::uint64_t attempt = 0;
    wire::TaskState state = wire::TaskState::fetching;
    wire::EndCause cause = wire::EndCause::none;
    bool saved = false;
    std::uint64_t serial = 0;
  };
  using Name = TaskName;

  [[nodiscard]] wire::WorkerHeartbeat compose();
  void heartbeat();
  void on_response(std::uint64_t sequence, double sent, std::size_t node,
                   const net::Response& response);
  void execute(const wire::WorkerCommand& command);
  void stop(const Name& name, Task& task, double grace_period_s);
  [[nodiscard]] bool in_gang(const Name& name) const;
  void run(const Name& name, std::uint64_t attempt);
  void running(const Name& name, std::uint64_t serial);
  void finish(const Name& name, std::uint64_t serial, bool fails);
  void end(const Name& name, wire::EndCause cause, bool saved);
  void check_lease();
  void expire();
  /// True while it hangs; `fn` then follows once it goes on.
  bool later(std::function<void()> fn);
  void forget_all();
  void changed();
  void next_heartbeat(double delay);

  World& world_;
  std::string id_, type_, zone_;
  bool spot_ = false;
  bool dead_ = false;
  std::uint64_t epoch_ = 1, sequence_ = 0, token_ = 0, serial_ = 0, round_ = 0;
  std::uint64_t last_sent_sequence_ = 0, sent_epoch_ = 0;  ///< of the heartbeat in flight
  double lease_from_ = 0;
  double hung_until_ = -1;
  double last_heartbeat_ = -10;
  bool in_flight_ = false;
  std::size_t node_ = 0;
  std::map<Name, Task> tasks_;
};

}  // namespace elmstall::test
