/// \file
/// Checks the rules of the protocol.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "sched/resources.hpp"
#include "wire/types.hpp"
#include "wire/workers.hpp"

namespace elmstall::test {

/// Records what happens on machines and the responses to users, and reports each violation.
class RuleChecker {
 public:
  explicit RuleChecker(const config::Settings& settings) : settings_(settings) {}

  /// The machine on which a task is.
  struct Place {
    std::string machine;
    std::string type;
    std::string zone;
    bool spot = false;
  };

  /// Called with a description of each recorded event, for tests that write a history.
  std::function<void(double now, const std::string& event)> on_event;

  // Requests of users and the responses to them.
  void record_submitted(const wire::JobSpec& spec) {
    submitted_.insert(spec.id);
    specs_.emplace(spec.id, spec);
  }
  void record_cancel_request(const std::string& id) { cancel_requested_.insert(id); }
  void record_accepted(double now, const std::string& id);
  /// `requested_at`: when the request was sent. The response must agree with the responses that
  /// users had received by then.
  void record_status(double now, const std::string& id, wire::JobState state, double requested_at);
  void record_status(double now, const std::string& id, wire::JobState state) {
    record_status(now, id, state, now);
  }
  void record_not_found(const std::string& id, double requested_at);
  void record_rejected(const std::string& id);

  /// A controller withheld a response that contradicts an earlier one of its own: no user received
  /// it, but it indicates a fault.
  void record_withheld_response(const std::string& node) {
    fail("withheld", "an answer of " + node);
  }

  // Events on machines.
  void record_task_start(double now, const std::string& job, std::uint32_t index,
                         const Place& place);
  void record_task_end(double now, const std::string& job, std::uint32_t index,
                       const std::string& machine);
  /// The late copy of a command that was answered before starts a task, or changes one that began
  /// after the original command. It must do neither, on whatever machine and however soon.
  void record_effect_of_copy(double now, const wire::WorkerCommand& command,
                             const std::string& machine);
  void record_completed(const std::string& job, std::uint32_t index) {
    completed_tasks_[job].insert(index);
  }
  void check_cancel_deadlines(double now);

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  /// The first violation; empty while there is none.
  [[nodiscard]] std::string first_violation() const {
    return violations_.empty() ? "" : violations_.front();
  }
  [[nodiscard]] std::size_t starts() const { return starts_; }
  /// Starts after the job was reported as cancelled. Within `cancel_s` they break no rule, but are
  /// undesired.
  [[nodiscard]] std::size_t late_starts() const { return late_starts_; }
  /// Tasks of the job that are on a machine now.
  [[nodiscard]] std::size_t tasks_on_machines(const std::string& job) const;
  [[nodiscard]] std::size_t completed_tasks(const std::string& job) const;
  /// The job was reported to a user as done or cancelled.
  [[nodiscard]] bool final_state_reported(const std::string& job) const {
    return final_states_.contains(job);
  }
  /// Resources of all tasks on this machine, and of all tasks of this team.
  [[nodiscard]] sched::Amount used_on(const std::string& machine) const;
  [[nodiscard]] sched::Amount used_by(const std::string& team) const;
  [[nodiscard]] std::size_t tasks_in_zone(const std::string& job, const std::string& zone) const;
  [[nodiscard]] std::size_t accepted() const { return accepted_at_.size(); }
  [[nodiscard]] std::size_t finished() const;
  [[nodiscard]] std::vector<std::string> accepted_jobs() const;

 private:
  using Task = std::pair<std::string, std::uint32_t>;
  void fail(const std::string& rule, const std::string& what);
  void report_event(double now, const std::string& event) const;

  const config::Settings& settings_;
  std::map<std::string, wire::JobSpec> specs_;
  std::set<std::string> submitted_;
  std::map<std::string, double> accepted_at_;  ///< time of the response
  std::set<std::string> cancel_requested_;
  std::map<std::string, double> cancel_reported_at_;  ///< time of the response
  std::map<std::string, std::pair<wire::JobState, double>> final_states_;
  std::map<std::string, std::set<std::uint32_t>> completed_tasks_;
  std::map<Task, std::map<std::string, Place>> placements_;
  std::vector<std::string> violations_;
  std::size_t starts_ = 0;
  std::size_t late_starts_ = 0;
};

}  // namespace elmstall::test
