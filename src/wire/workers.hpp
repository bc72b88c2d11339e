// Workers' interface: reports and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"

namespace elmstall::wire {

/// `gathering`: waits for the other tasks of its gang. `other`: a state that
/// this program does not know.
enum class TaskState : std::uint8_t { fetching, gathering, running, saving, ended, other };
/// `mates_gone`: another task of the gang is gone. `incomplete`: the gang was
/// not complete in time.
enum class EndCause : std::uint8_t {
  none,
  done,
  stopped,
  error,
  no_room,
  in_use,
  unknown,
  mates_gone,
  incomplete,
  other
};

/// One task as a worker reports it.
struct TaskReport {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  EndCause cause = EndCause::none;
  bool saved = false;
};

/// What a worker reports of itself and its tasks.
struct Report {
  std::string host;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t session = 0;
  std::uint64_t tick = 0;
  std::uint64_t token = 0;
  std::optional<double> recall_s;
  std::vector<TaskReport> tasks;
};
/// Throws Malformed.
[[nodiscard]] Report decode_report(const Object& object);
[[nodiscard]] std::string encode_report(const Report& report);

/// `stop` ends a task, `clear` removes an exited one from the reports.
enum class Verb : std::uint8_t { run, stop, clear };
/// One command to a worker.
struct Order {
  Verb verb = Verb::run;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  double wind_down_s = 0;
};
/// The answer to a report.
[[nodiscard]] std::string encode_orders(std::uint64_t token, const std::vector<Order>& orders);
/// A command sent straight to a worker; void unless its session is this one.
[[nodiscard]] std::string encode_direct_orders(std::uint64_t token, std::uint64_t session,
                                               const std::vector<Order>& orders);
/// What a worker reads from the answer to its report.
struct Orders {
  std::uint64_t token = 0;
  std::uint64_t session = 0;  ///< of direct orders
  std::vector<Order> orders;
};
/// Throws Malformed.
[[nodiscard]] Orders decode_orders(const Object& object);
/// Sends a worker to another controller; empty: to whichever it tries next.
[[nodiscard]] std::string encode_redirect(std::string_view node);

/// The name that users and workers know a task by.
[[nodiscard]] std::string task_name(std::string_view job, std::uint32_t index);

}  // namespace elmstall::wire
