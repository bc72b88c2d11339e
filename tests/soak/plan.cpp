#include "soak/plan.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace elmstall::soak {

namespace {

// Seconds. Mean time between two faults and their lengths: two or three overlap.
constexpr double kMeanInterval = 1.6;
constexpr double kMinDuration = 0.2;
constexpr double kMaxDuration = 8;
constexpr double kMaxOutageDuration = 12;

constexpr std::array kNames = {
    "kill",          "restart",       "pause",           "leader_series",     "cut_peer",
    "cut_to_peer",   "cut_state",     "cut_from_state",  "cut_workers",       "cut_users",
    "delay",         "state_slow",    "state_refuses",   "state_out",         "unanswered",
    "late",          "watch_lag",     "heartbeats_lost", "heartbeats_copied", "responses_lost",
    "commands_late", "commands_lost", "commands_copied", "machines_hang",     "cancel_wave"};

}  // namespace

const std::vector<FaultKind>& all_fault_kinds() {
  static const auto kinds = [] {
    std::vector<FaultKind> all;
    for (std::size_t i = 0; i < kNames.size(); ++i) all.push_back(static_cast<FaultKind>(i));
    return all;
  }();
  return kinds;
}

std::string to_text(FaultKind kind) { return kNames.at(static_cast<std::size_t>(kind)); }

std::optional<FaultKind> parse_fault_kind(const std::string& name) {
  const auto found = std::find(kNames.begin(), kNames.end(), name);
  if (found == kNames.end()) return std::nullopt;
  return static_cast<FaultKind>(found - kNames.begin());
}

std::vector<PlannedFault> draw_plan(const PlanInput& input) {
  std::mt19937 generator(input.seed);
  const auto uniform = [&](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(generator);
  };
  const auto pick = [&](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(generator);
  };
  const std::vector<FaultKind> kinds(input.kinds.begin(), input.kinds.end());
  std::vector<PlannedFault> plan;
  for (double at = input.begin_s; at < input.end_s; at += uniform(0, 2 * kMeanInterval)) {
    PlannedFault fault;
    fault.start_s = at;
    fault.kind = kinds[pick(kinds.size())];
    const double longest = fault.kind == FaultKind::state_out ? kMaxOutageDuration : kMaxDuration;
    // Log-uniform, so that short and long durations are equally likely.
    fault.duration_s = kMinDuration * std::pow(longest / kMinDuration, uniform(0, 1));
    fault.node = pick(input.controllers);
    fault.peer = (fault.node + 1 + pick(input.controllers - 1)) % input.controllers;
    plan.push_back(fault);
  }
  return plan;
}

std::string describe(const std::vector<PlannedFault>& plan) {
  std::string text;
  for (const auto& fault : plan) {
    text += fmt::format("{:7.2f} s  {:<18} node {}  peer {}  for {:.2f} s\n", fault.start_s,
                        to_text(fault.kind), fault.node, fault.peer, fault.duration_s);
  }
  return text;
}

}  // namespace elmstall::soak
