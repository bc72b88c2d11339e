/// \file
/// The faults and jobs that random histories draw.
#pragma once

#include "support/world.hpp"

namespace elmstall::test {

wire::JobSpec random_job(World& world, int number);
/// Small tasks that must run at the same time.
wire::JobSpec random_gang(World& world, int number);

/// One kind of fault.
struct Fault {
  const char* name;  ///< for the failure messages of a test
  /// Begins the fault and schedules its end, about `length` seconds later. Some faults take `node`.
  std::function<void(World&, std::size_t node, double length)> begin;
};

/// Faults for histories of single faults. Seeds rely on their order.
[[nodiscard]] const std::vector<Fault>& single_faults();
/// Faults for histories in which two faults overlap. Seeds rely on their order.
[[nodiscard]] const std::vector<Fault>& concurrent_faults();

}  // namespace elmstall::test
