/// \file
/// The faults of one run of the soak test, drawn from its seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace elmstall::soak {

/// A kind of fault. `node` is the controller that a fault affects, `peer` another one.
enum class FaultKind : std::uint8_t {
  kill,               ///< SIGKILL, started again after the fault's length
  restart,            ///< SIGKILL, started again at once
  pause,              ///< SIGSTOP, then SIGCONT
  leader_series,      ///< the current leader is killed three times in succession
  cut_peer,           ///< nothing passes between two controllers
  cut_to_peer,        ///< nothing passes from one controller to another
  cut_state,          ///< nothing passes between a controller and the state store
  cut_from_state,     ///< requests reach the state store, responses are lost
  cut_workers,        ///< nothing passes between the workers and a controller
  cut_users,          ///< nothing passes between the users and a controller
  delay,              ///< what passes between a controller and the state store is delayed
  state_slow,         ///< the state store answers slowly
  state_refuses,      ///< the state store refuses one controller
  state_out,          ///< the state store refuses all
  unanswered,         ///< transactions are executed without a response
  late,               ///< transactions are executed seconds later without a response
  watch_lag,          ///< a controller receives changes late
  heartbeats_lost,    ///< heartbeats of some workers get lost
  heartbeats_copied,  ///< heartbeats of some workers arrive again, late
  responses_lost,     ///< some workers receive no response and no command
  commands_late,      ///< command RPCs are executed late, their replies are lost
  commands_lost,      ///< replies to command RPCs are lost
  commands_copied,    ///< command RPCs that were answered arrive again, late
  machines_hang,      ///< some machines hang
  cancel_wave,        ///< users cancel many jobs at the same time
};

/// All kinds, in the order of the enumeration.
[[nodiscard]] const std::vector<FaultKind>& all_fault_kinds();
/// The name of the kind, as in options and reports.
[[nodiscard]] std::string to_text(FaultKind kind);
/// The kind of this name, if there is one.
[[nodiscard]] std::optional<FaultKind> parse_fault_kind(const std::string& name);

/// One fault.
struct PlannedFault {
  double start_s = 0;     ///< seconds since the start
  double duration_s = 0;  ///< seconds
  FaultKind kind = FaultKind::kill;
  std::size_t node = 0;
  std::size_t peer = 0;
};

/// Input of `draw_plan`.
struct PlanInput {
  unsigned seed = 0;
  double begin_s = 0;
  double end_s = 0;  ///< no fault begins later
  std::size_t controllers = 0;
  std::set<FaultKind> kinds;
};

/// Draws the faults, ordered by their begin; mostly two or three overlap. The same input gives the
/// same plan.
[[nodiscard]] std::vector<PlannedFault> draw_plan(const PlanInput& input);
/// The plan as text, one fault a line.
[[nodiscard]] std::string describe(const std::vector<PlannedFault>& plan);

}  // namespace elmstall::soak
