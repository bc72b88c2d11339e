/// @file
/// Reads the cloud's list of machines, page by page, and applies it to the model.
///
/// The list lags behind by up to `Settings::list_lag_s`. A machine may therefore
/// be listed although it has been deleted, or missing although it was provisioned a moment ago.
/// Only the state `failed` is final and can be relied on (rule 6).
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "clients/cloud.hpp"
#include "runtime/command_queue.hpp"
#include "state/model.hpp"

namespace elmstall::autoscaler {

/// Polls the cloud's machine list. Runs on the controller's event loop.
class MachineList {
 public:
  /// `machine_lost` is called once for each machine that the cloud lists as failed: its tasks
  /// are certainly gone.
  MachineList(runtime::EventLoop& event_loop, runtime::CommandQueue& queue, clients::Cloud& cloud,
              state::Model& model, std::function<void(state::Machine&)> machine_lost);

  /// Starts to read the list if no reading is in progress and the next one is due.
  /// `now`: seconds on the event loop's steady clock.
  void read_if_due(double now);

  /// True once the whole list has been read in this term.
  [[nodiscard]] bool read_once() const { return read_once_; }

 private:
  /// Requests the page that follows the machine `last_id`; the first page if that is empty.
  void request_page_after(const std::string& last_id);
  /// Applies a list of which all pages were read.
  void apply_list();
  /// Applies one entry of the list. Machines that are not in the model yet are added.
  void apply_entry(const wire::CloudMachine& entry, double now);

  runtime::EventLoop& loop_;
  clients::Cloud& cloud_;
  state::Model& model_;
  std::function<void(state::Machine&)> machine_lost_;
  runtime::CommandScope scope_;
  std::vector<wire::CloudMachine> entries_;  ///< of the pages read so far
  bool reading_ = false;                     ///< a reading is in progress
  bool read_once_ = false;
  double next_read_at_ = state::kNever;
};

}  // namespace elmstall::autoscaler
