// Everything that can go wrong in the world, one fault at a time, for tests
// that draw them.
#pragma once

#include "support/world.hpp"

namespace elmstall::test {

wire::JobSpec random_job(World& world, int number);
/// Small tasks that must run at the same time.
wire::JobSpec random_gang(World& world, int number);

struct Fault {
  const char* name;
  /// Begins it and sees to its end, `length` seconds later at the most.
  std::function<void(World&, std::size_t node, double length)> begin;
};

/// Those that the first search draws, in the order that its seeds rely on.
[[nodiscard]] const std::vector<Fault>& single_faults();
/// Those that are known to meet badly.
[[nodiscard]] const std::vector<Fault>& concurrent_faults();

}  // namespace elmstall::test
