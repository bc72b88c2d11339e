/// \file
/// The stated bound of a controller's memory, as docs/operations.md gives it.
#pragma once

#include <algorithm>
#include <cstddef>

namespace elmstall::memory {

/// MB that a controller of a small deployment takes without any accepted work.
inline constexpr double kWithoutWorkMb = 14;
/// MB that a controller of the simulated deployment may take at most, whatever it has accepted.
inline constexpr double kMemoryMb = 56;
/// MB that the tasks of a leader may take.
inline constexpr double kTasksMb = 0.3 * kMemoryMb;
/// Bytes for each unfinished job whose record has the usual size, some 330 bytes.
inline constexpr double kJobBytes = 1500;

/// The bound for so many unfinished jobs, in MB.
[[nodiscard]] inline double memory_bound_mb(std::size_t jobs) {
  const double jobs_mb = static_cast<double>(jobs) * kJobBytes / (1024 * 1024);
  return std::min(kMemoryMb, kWithoutWorkMb + kTasksMb + jobs_mb);
}

}  // namespace elmstall::memory
