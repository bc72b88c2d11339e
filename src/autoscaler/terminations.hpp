/// @file
/// Deletes machines through the cloud. Machines are marked one by one and deleted in batches,
/// because every request counts against the cloud's rate limit.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "clients/cloud.hpp"
#include "runtime/command_queue.hpp"
#include "state/model.hpp"

namespace elmstall::autoscaler {

/// Sends deletion requests to the cloud, at most one at a time. Runs on the controller's event
/// loop.
class Terminations {
 public:
  /// `machine_lost` is called for each machine whose deletion the cloud has confirmed, before
  /// the machine is removed from the model: its tasks are certainly gone (rule 6).
  Terminations(runtime::EventLoop& event_loop, runtime::CommandQueue& queue, clients::Cloud& cloud,
               state::Model& model, std::function<void(state::Machine&)> machine_lost);

  /// Marks the machine for deletion. It gets no more tasks from now on. Marking a machine twice
  /// is harmless.
  void mark(state::Machine& machine);

  /// Sends the next batch of marked machines, unless a request is in flight or the last one was
  /// sent too recently. `now`: seconds on the event loop's steady clock.
  void send_if_due(double now);

 private:
  /// The marked machines that the next request names.
  [[nodiscard]] std::vector<std::string> next_batch() const;
  void on_reply(const std::vector<std::string>& machine_ids, bool confirmed);
  void remove_deleted(const std::string& machine_id);

  runtime::EventLoop& loop_;
  clients::Cloud& cloud_;
  state::Model& model_;
  std::function<void(state::Machine&)> machine_lost_;
  runtime::CommandScope scope_;
  bool in_flight_ = false;
  double next_request_at_ = state::kNever;
};

}  // namespace elmstall::autoscaler
